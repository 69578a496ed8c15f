/// @file
/// Checks of the keys and usage limits of organisations during an exchange.

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
const std::string known_key_fields = "Id: r1\r\nKey: k\r\n";

script answering_x() {
    return [](const received_request& to, const event::connection_ptr& link) {
        link->write(answer_to(to, "x"));
    };
}

/// Grants or refuses as `grants` says, and records each request for a grant.
class scripted_limiter final : public usage_limiter {
public:
    explicit scripted_limiter(event::loop& owner)
        : owner_(owner) {}
    std::unique_ptr<usage_ticket> request_grant(
        const traffic::organisation& who, double cost,
        usage_handler then) override {
        asked.push_back(who.name);
        costs.push_back(cost);
        usage_grant reply;
        reply.granted = grants;
        reply.retry_after = milliseconds{700};
        reply.cost = cost;
        owner_.post([this, reply, then] {
            if (before_grant)
                before_grant();
            then(reply);
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

Test(organisations, server_receives_the_name_but_not_the_key) {
    fixture f;
    scripted_server& server = f.add_server("i", "app", plain, answering_x());
    cr_assert(f.ask(request("/unsafe/1", known_key_fields)).status == 200);
    cr_assert(server.requests[0].field("Organisation") == "o");
    cr_assert(server.requests[0].field("Key").empty());
}

Test(organisations, every_call_of_a_stream_omits_the_key) {
    fixture f;
    scripted_server& prefill_engine =
        f.add_server("p", "llm", prefill, good_prefill("h"));
    scripted_server& decode_engine =
        f.add_server("d", "llm", decode, good_decode());
    cr_assert(f.ask(request("/stream/1", known_key_fields + "Tokens: 40\r\n"))
                  .complete);
    for (const scripted_server* server : {&prefill_engine, &decode_engine}) {
        cr_assert(server->requests.size() == 1);
        cr_assert(server->requests[0].field("Organisation") == "o");
        cr_assert(server->requests[0].field("Key").empty());
    }
}

Test(organisations, missing_or_unknown_key_is_refused_with_401) {
    fixture f;
    scripted_server& server = f.add_server("i", "app", plain, answering_x());
    for (const char* fields : {"Id: r1\r\n", "Id: r1\r\nKey: x\r\n"}) {
        const caller_view seen = f.ask(request("/unsafe/1", fields));
        cr_assert(seen.status == 401);
        cr_assert(seen.field("Retry-After").empty());
    }
    cr_assert(server.requests.empty());
    cr_assert(f.limiter.asked.empty());
}

Test(organisations, missing_configuration_gives_503_instead_of_401) {
    fixture f;
    f.context.state.config.reset();
    cr_assert(f.ask(request("/unsafe/1", "Id: r1\r\n")).status == 503);
}

Test(organisations, stale_configuration_is_refused_with_retry_after) {
    fixture f;
    scripted_server& server = f.add_server("i", "app", plain, answering_x());
    f.context.options.revocation_bound = milliseconds{5000};
    cr_assert(f.ask(request("/unsafe/1", known_key_fields)).status == 503);
    f.context.state.configuration_confirmed =
        f.owner.now() - milliseconds{4950};
    const caller_view old = f.ask(request("/unsafe/1", known_key_fields));
    cr_assert(old.status == 503);
    cr_assert(!old.field("Retry-After").empty());
    cr_assert(server.requests.empty());
    f.context.state.configuration_confirmed =
        f.owner.now() - milliseconds{3000};
    cr_assert(f.ask(request("/unsafe/1", known_key_fields)).status == 200);
}

Test(organisations, key_revoked_before_the_grant_stops_the_request) {
    fixture f;
    scripted_server& prefill_engine =
        f.add_server("p", "llm", prefill, good_prefill("h"));
    scripted_server& decode_engine =
        f.add_server("d", "llm", decode, good_decode());
    // The key is revoked between the arrival of the request and the grant.
    f.limiter.before_grant = [&f] { f.set_keys({"other"}); };
    const caller_view seen =
        f.ask(request("/stream/1", known_key_fields + "Tokens: 40\r\n"));
    cr_assert(seen.status == 401);
    cr_assert(prefill_engine.requests.empty());
    cr_assert(decode_engine.requests.empty());
    cr_assert(f.limiter.returned == 40.0);
}

Test(organisations, key_revoked_during_prefill_prevents_decode) {
    fixture f;
    f.add_server(
        "p", "llm", prefill,
        [&f, answer = good_prefill("h")](
            const received_request& to, const event::connection_ptr& link) {
            f.set_keys({"other"});
            answer(to, link);
        });
    scripted_server& decode_engine =
        f.add_server("d", "llm", decode, good_decode());
    cr_assert(
        f.ask(request("/stream/1", known_key_fields + "Tokens: 40\r\n"))
            .status == 401);
    cr_assert(decode_engine.requests.empty());
}

Test(organisations, configuration_stale_at_the_grant_stops_the_request) {
    // A process that was suspended continues with the configuration that it
    // had.
    fixture f;
    scripted_server& server = f.add_server("i", "app", plain, answering_x());
    f.context.options.revocation_bound = milliseconds{5000};
    f.context.state.configuration_confirmed = f.owner.now();
    f.limiter.before_grant = [&f] {
        f.context.state.configuration_confirmed =
            f.owner.now() - milliseconds{6000};
    };
    cr_assert(f.ask(request("/unsafe/1", known_key_fields)).status == 503);
    cr_assert(server.requests.empty());
}

Test(organisations, organisation_over_its_limit_gets_429) {
    fixture f;
    f.limiter.grants = false;
    scripted_server& prefill_engine =
        f.add_server("p", "llm", prefill, good_prefill("h"));
    const caller_view seen =
        f.ask(request("/stream/1", known_key_fields + "Tokens: 40\r\n"));
    cr_assert(seen.status == 429);
    cr_assert(seen.field("Retry-After") == "700");
    cr_assert(prefill_engine.requests.empty());
    cr_assert(f.limiter.returned == 0.0);
}

Test(organisations, request_costs_its_tokens_or_the_configured_cost) {
    fixture f;
    f.add_server("i", "app", plain, answering_x());
    f.add_server("p", "llm", prefill, good_prefill("h"));
    f.add_server("d", "llm", decode, good_decode());
    f.ask(request("/unsafe/1", known_key_fields));
    f.ask(request("/stream/1", known_key_fields + "Tokens: 40\r\n"));
    cr_assert(f.limiter.costs == (std::vector<double>{5.0, 40.0}));
    cr_assert(f.limiter.returned == 0.0);
}

Test(organisations, request_that_has_not_run_is_refunded) {
    fixture f;
    // No server of the service is reachable.
    f.add_dead_server("i", "app");
    cr_assert(f.ask(request("/unsafe/1", known_key_fields)).status == 503);
    cr_assert(f.limiter.returned == 5.0);
}

// What a request used whose caller left while it ran was refunded.
Test(organisations, request_that_may_run_on_is_not_refunded) {
    fixture f;
    scripted_server& server = f.add_server("i", "app", plain, silent());
    f.ask(request("/unsafe/1", known_key_fields), [&] {
        return !server.requests.empty();
    });
    f.run_until([&] { return f.context.state.open_requests == 0; });
    cr_assert(f.limiter.returned == 0.0);
}

Test(organisations, organisation_without_a_limit_needs_no_grant) {
    fixture f;
    f.add_server("i", "app", plain, answering_x());
    traffic::organisation_row row;
    row.value.name = "free";
    row.keys = {"k"};
    f.config.organisations =
        std::make_shared<const traffic::organisation_table>(
            std::vector<traffic::organisation_row>{row});
    f.configure();
    cr_assert(f.ask(request("/unsafe/1", known_key_fields)).status == 200);
    cr_assert(f.limiter.asked.empty());
}

Test(organisations, key_is_forwarded_if_there_are_no_organisations) {
    fixture f;
    scripted_server& server = f.add_server("i", "app", plain, answering_x());
    f.config.organisations = nullptr;
    f.configure();
    cr_assert(f.ask(request("/unsafe/1", known_key_fields)).status == 200);
    cr_assert(server.requests[0].field("Key") == "k");
}

Test(organisations, open_route_needs_no_key) {
    fixture f;
    scripted_server& server = f.add_server("i", "app", plain, answering_x());
    for (traffic::route& route : f.config.routes)
        route.open_to_all = true;
    f.configure();
    f.context.options.revocation_bound = milliseconds{5000};
    cr_assert(f.ask(request("/unsafe/1", "Id: r1\r\n")).status == 200);
    cr_assert(f.ask(request("/unsafe/1", known_key_fields)).status == 200);
    cr_assert(server.requests[1].field("Key").empty());
}
