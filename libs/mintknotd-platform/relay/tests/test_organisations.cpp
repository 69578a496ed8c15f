/// @file
/// Keys and limits of organisations on the way of a request.

#include "relay_fixture.hpp"

#include <criterion/criterion.h>

using namespace mintknot;
using namespace mintknot::relay;
using namespace mintknot::relay::tests;
using base::milliseconds;

namespace {

constexpr auto plain = traffic::engine_phase::none;
constexpr auto prefill = traffic::engine_phase::prefill;
constexpr auto decode = traffic::engine_phase::decode;
const std::string known = "Id: r1\r\nKey: k\r\n";

script echoing() {
    return [](const received& to, const event::connection_ptr& link) {
        link->write(answer_to(to, "x"));
    };
}

/// Grants or refuses as it is told, and notes what it was asked.
class scripted_limiter final : public usage_limiter {
public:
    explicit scripted_limiter(event::loop& owner)
        : owner_(owner) {}
    std::unique_ptr<usage_ticket> request_grant(
        const traffic::organisation& who, double cost,
        usage_handler then) override {
        asked.push_back(who.name);
        costs.push_back(cost);
        usage_grant told;
        told.granted = grants;
        told.retry_after = milliseconds{700};
        told.cost = cost;
        owner_.post([this, told, then] {
            if (before_grant)
                before_grant();
            then(told);
        });
        return std::make_unique<usage_ticket>();
    }
    void refund(const std::string&, const usage_grant& unused) override {
        returned += unused.cost;
    }
    bool grants = true;
    std::function<void()> before_grant;
    std::vector<std::string> asked;
    std::vector<double> costs;
    double returned = 0.0;

private:
    event::loop& owner_;
};

struct fixture : relay_fixture {
    fixture()
        : limiter(owner) {
        set_keys({"k"});
        context.limits = &limiter;
    }
    void set_keys(const std::vector<std::string>& keys) {
        traffic::organisation_row row;
        row.value.name = "o";
        row.value.priority = 0;
        row.value.limit = {100.0, 100.0, traffic::usage_unit::tokens, 5.0};
        row.keys = keys;
        config.organisations =
            std::make_shared<const traffic::organisation_table>(
                std::vector<traffic::organisation_row>{row});
        configure();
    }
    scripted_limiter limiter;
};

} // namespace

Test(organisations, a_server_gets_the_name_and_not_the_key) {
    fixture f;
    scripted_server& server = f.add_server("i", "app", plain, echoing());
    cr_assert(f.ask(request("/unsafe/1", known)).status == 200);
    cr_assert(server.requests[0].field("Organisation") == "o");
    cr_assert(server.requests[0].field("Key").empty());
}

Test(organisations, each_call_of_a_stream_hides_the_key) {
    fixture f;
    scripted_server& reads =
        f.add_server("p", "llm", prefill, good_prefill("h"));
    scripted_server& runs = f.add_server("d", "llm", decode, good_decode());
    cr_assert(f.ask(request("/stream/1", known + "Tokens: 40\r\n")).complete);
    for (const scripted_server* server : {&reads, &runs}) {
        cr_assert(server->requests.size() == 1);
        cr_assert(server->requests[0].field("Organisation") == "o");
        cr_assert(server->requests[0].field("Key").empty());
    }
}

Test(organisations, without_a_known_key_nothing_reaches_a_server) {
    fixture f;
    scripted_server& server = f.add_server("i", "app", plain, echoing());
    for (const char* fields : {"Id: r1\r\n", "Id: r1\r\nKey: x\r\n"}) {
        const caller_view seen = f.ask(request("/unsafe/1", fields));
        cr_assert(seen.status == 401);
        cr_assert(seen.field("Retry-After").empty());
    }
    cr_assert(server.requests.empty());
    cr_assert(f.limiter.asked.empty());
}

Test(organisations, without_a_configuration_nobody_is_said_to_be_unknown) {
    fixture f;
    f.context.state.config.reset();
    cr_assert(f.ask(request("/unsafe/1", "Id: r1\r\n")).status == 503);
}

Test(organisations, old_knowledge_refuses_for_now) {
    fixture f;
    scripted_server& server = f.add_server("i", "app", plain, echoing());
    f.context.options.revocation_bound = milliseconds{5000};
    cr_assert(f.ask(request("/unsafe/1", known)).status == 503);
    f.context.state.configuration_confirmed =
        f.owner.now() - milliseconds{4950};
    const caller_view old = f.ask(request("/unsafe/1", known));
    cr_assert(old.status == 503);
    cr_assert(!old.field("Retry-After").empty());
    cr_assert(server.requests.empty());
    f.context.state.configuration_confirmed =
        f.owner.now() - milliseconds{3000};
    cr_assert(f.ask(request("/unsafe/1", known)).status == 200);
}

Test(organisations, a_key_that_goes_while_a_request_waits_lets_nothing_run) {
    fixture f;
    scripted_server& reads =
        f.add_server("p", "llm", prefill, good_prefill("h"));
    scripted_server& runs = f.add_server("d", "llm", decode, good_decode());
    // Taken away between the arrival and the grant.
    f.limiter.before_grant = [&f] { f.set_keys({"other"}); };
    const caller_view seen =
        f.ask(request("/stream/1", known + "Tokens: 40\r\n"));
    cr_assert(seen.status == 401);
    cr_assert(reads.requests.empty());
    cr_assert(runs.requests.empty());
    cr_assert(f.limiter.returned == 40.0);
}

Test(organisations, a_key_that_goes_while_a_prompt_is_read_runs_nothing) {
    fixture f;
    f.add_server(
        "p", "llm", prefill,
        [&f, answer = good_prefill("h")](
            const received& to, const event::connection_ptr& link) {
            f.set_keys({"other"});
            answer(to, link);
        });
    scripted_server& runs = f.add_server("d", "llm", decode, good_decode());
    cr_assert(
        f.ask(request("/stream/1", known + "Tokens: 40\r\n")).status == 401);
    cr_assert(runs.requests.empty());
}

Test(organisations, knowledge_that_grows_old_while_a_request_waits) {
    // A process that was frozen goes on where it was.
    fixture f;
    scripted_server& server = f.add_server("i", "app", plain, echoing());
    f.context.options.revocation_bound = milliseconds{5000};
    f.context.state.configuration_confirmed = f.owner.now();
    f.limiter.before_grant = [&f] {
        f.context.state.configuration_confirmed =
            f.owner.now() - milliseconds{6000};
    };
    cr_assert(f.ask(request("/unsafe/1", known)).status == 503);
    cr_assert(server.requests.empty());
}

Test(organisations, who_is_over_the_limit_is_refused_at_once) {
    fixture f;
    f.limiter.grants = false;
    scripted_server& reads =
        f.add_server("p", "llm", prefill, good_prefill("h"));
    const caller_view seen =
        f.ask(request("/stream/1", known + "Tokens: 40\r\n"));
    cr_assert(seen.status == 429);
    cr_assert(seen.field("Retry-After") == "700");
    cr_assert(reads.requests.empty());
    cr_assert(f.limiter.returned == 0.0);
}

Test(organisations, a_request_costs_its_tokens_or_what_is_set_for_it) {
    fixture f;
    f.add_server("i", "app", plain, echoing());
    f.add_server("p", "llm", prefill, good_prefill("h"));
    f.add_server("d", "llm", decode, good_decode());
    f.ask(request("/unsafe/1", known));
    f.ask(request("/stream/1", known + "Tokens: 40\r\n"));
    cr_assert(f.limiter.costs == (std::vector<double>{5.0, 40.0}));
    cr_assert(f.limiter.returned == 0.0);
}

Test(organisations, what_has_not_run_gives_its_grant_back) {
    fixture f;
    // Nothing serves it.
    f.add_dead_server("i", "app");
    cr_assert(f.ask(request("/unsafe/1", known)).status == 503);
    cr_assert(f.limiter.returned == 5.0);
}

Test(organisations, without_a_limit_nobody_is_asked) {
    fixture f;
    f.add_server("i", "app", plain, echoing());
    traffic::organisation_row row;
    row.value.name = "free";
    row.keys = {"k"};
    f.config.organisations =
        std::make_shared<const traffic::organisation_table>(
            std::vector<traffic::organisation_row>{row});
    f.configure();
    cr_assert(f.ask(request("/unsafe/1", known)).status == 200);
    cr_assert(f.limiter.asked.empty());
}

Test(organisations, without_organisations_a_key_is_the_servers) {
    fixture f;
    scripted_server& server = f.add_server("i", "app", plain, echoing());
    f.config.organisations = nullptr;
    f.configure();
    cr_assert(f.ask(request("/unsafe/1", known)).status == 200);
    cr_assert(server.requests[0].field("Key") == "k");
}

Test(organisations, a_route_for_all_needs_no_key) {
    fixture f;
    scripted_server& server = f.add_server("i", "app", plain, echoing());
    for (traffic::route& route : f.config.routes)
        route.open_to_all = true;
    f.configure();
    f.context.options.revocation_bound = milliseconds{5000};
    cr_assert(f.ask(request("/unsafe/1", "Id: r1\r\n")).status == 200);
    cr_assert(f.ask(request("/unsafe/1", known)).status == 200);
    cr_assert(server.requests[1].field("Key").empty());
}
