#include <mintknot/orders/phase_balancer.hpp>

#include "relay_fixture.hpp"
#include "suspended_clock.hpp"

#include <criterion/criterion.h>

using namespace mintknot;
using namespace mintknot::orders;
using namespace mintknot::relay::tests;

namespace {

constexpr auto prefill = traffic::engine_phase::prefill;
constexpr auto decode = traffic::engine_phase::decode;

/// One lease row in memory.
class lease_store final : public state::store {
public:
    explicit lease_store(event::loop& owner)
        : owner_(owner) {}
    void read(state::collection, state::store_handler on_answer) override {
        state::store_answer answer;
        answer.result = state::store_result::ok;
        if (version > 0)
            answer.documents = {{"llm", version, holder}};
        owner_.post([=] { on_answer(answer); });
    }
    void watch(
        state::collection, std::uint64_t, base::milliseconds,
        state::store_handler) override {}
    void write(
        state::collection, const std::string&, std::uint64_t expected,
        const std::string& text, state::write_handler on_answer) override {
        ++writes;
        state::write_answer answer;
        answer.result = expected == version ? state::store_result::ok
                                            : state::store_result::conflict;
        if (answer.result == state::store_result::ok) {
            version += 10;
            holder = text;
        }
        answer.version = version;
        if (!answers_lost)
            owner_.post([=] { on_answer(answer); });
        else
            owner_.post([=] { on_answer({}); });
    }
    std::uint64_t version = 0;
    std::string holder;
    int writes = 0;
    bool answers_lost = false;

private:
    event::loop& owner_;
};

/// Engines of which too many read prompts; each notes its orders.
struct fixture {
    fixture()
        : store(relay.owner) {
        for (const char* id : {"e1", "e2", "e3", "e4", "e5"})
            engines.push_back(&relay.add_server(id, "llm", prefill, engine()));
        engines.push_back(&relay.add_server("e6", "llm", decode, engine()));
        options.holder = "me";
        options.period = base::milliseconds(10);
        options.pause = base::milliseconds(20);
        options.notice = base::milliseconds(5);
        options.terms = {
            base::milliseconds(60), base::milliseconds(500),
            base::milliseconds(20)};
    }
    script engine() {
        return
            [this](
                const received_request& to, const event::connection_ptr& link) {
                if (to.head.target == "/report") {
                    link->write(answer_to(to, "taken 3"));
                    return;
                }
                orders.push_back(to.body);
                link->write(answer_to(to, "", order_status));
            };
    }
    std::unique_ptr<phase_balancer> start() {
        auto balancer = std::make_unique<phase_balancer>(
            relay.context, store, options, [this] { return responsible; });
        balancer->start();
        return balancer;
    }
    /// Lets the balancer look a number of times.
    void let_pass(base::milliseconds time) {
        const auto until = relay.owner.now() + time;
        relay.run_until([&] { return relay.owner.now() > until; });
    }
    relay_fixture relay;
    lease_store store;
    std::vector<scripted_server*> engines;
    std::vector<std::string> orders;
    balancer_options options;
    bool responsible = true;
    int order_status = 202;
};

} // namespace

Test(phase_balancer, orders_with_the_rows_version_as_fence) {
    fixture f;
    const auto balancer = f.start();
    f.relay.run_until([&] { return !f.orders.empty(); });
    cr_assert(f.orders.front() == "decode 10 3");
    cr_assert(f.store.holder == "me");
    // One engine of six may be changing at a time.
    f.let_pass(base::milliseconds(150));
    cr_assert(f.orders.size() == 1);
}

// An engine that got orders through a peer saw two holders within one lease.
Test(phase_balancer, orders_and_their_reports_go_through_no_peer) {
    fixture f;
    const auto balancer = f.start();
    f.relay.run_until([&] { return !f.orders.empty(); });
    cr_assert(!f.relay.connects.empty());
    for (const upstream::target& where : f.relay.connects)
        cr_assert(where.directly, "%s", where.id.c_str());
}

Test(phase_balancer, waits_out_another_holder) {
    fixture f;
    f.store.version = 4;
    f.store.holder = "other";
    const auto begun = f.relay.owner.now();
    const auto balancer = f.start();
    f.relay.run_until([&] { return !f.orders.empty(); });
    cr_assert(
        f.relay.owner.now() - begun >= f.options.terms.length +
                                           f.options.terms.order_period +
                                           f.options.terms.margin);
}

Test(phase_balancer, a_lost_answer_of_the_store_gives_no_right) {
    fixture f;
    f.store.answers_lost = true;
    const auto balancer = f.start();
    f.relay.run_until([&] { return f.store.writes > 0; });
    f.let_pass(base::milliseconds(100));
    cr_assert(f.orders.empty());
}

Test(phase_balancer, a_lease_of_before_a_suspension_gives_no_right) {
    fixture f;
    f.responsible = true;
    bool suspended = false;
    for (scripted_server* engine : f.engines)
        engine->behaviour = [&, usual = engine->behaviour](
                                const received_request& to,
                                const event::connection_ptr& link) {
            if (to.head.target == "/report" && !suspended) {
                suspended = true;
                f.responsible = false;
                base::tests::suspend_for(base::milliseconds(20000));
            }
            usual(to, link);
        };
    const auto balancer = f.start();
    f.relay.run_until([&] { return suspended; });
    f.let_pass(base::milliseconds(200));
    cr_assert(f.orders.empty());
}

Test(phase_balancer, an_engine_whose_report_says_that_it_leaves_is_not_used) {
    fixture f;
    const script leaving = [](const received_request& to,
                              const event::connection_ptr& link) {
        link->write(answer_to(to, "taken 3 leaving"));
    };
    for (scripted_server* engine : f.engines)
        engine->behaviour = leaving;
    const auto balancer = f.start();
    const traffic::server_table& servers = f.relay.context.state.servers;
    const std::size_t all = traffic::open_servers(servers, "llm").size();
    f.relay.run_until(
        [&] { return traffic::open_servers(servers, "llm").size() < all; });
    f.let_pass(base::milliseconds(50));
    cr_assert(f.orders.empty());
}

Test(phase_balancer, an_instance_that_is_not_responsible_does_nothing) {
    fixture f;
    f.responsible = false;
    const auto balancer = f.start();
    f.let_pass(base::milliseconds(100));
    cr_assert(f.store.writes == 0);
    cr_assert(f.orders.empty());
}

Test(phase_balancer, after_a_higher_fence_it_does_not_order_again_at_once) {
    fixture f;
    f.order_status = 412;
    const auto balancer = f.start();
    f.relay.run_until([&] { return !f.orders.empty(); });
    f.let_pass(base::milliseconds(300));
    cr_assert(f.orders.size() == 1);
}

Test(phase_balancer, many_engines_are_ordered_together_under_one_lease) {
    fixture f;
    for (int i = 0; i < 42; ++i)
        f.engines.push_back(&f.relay.add_server(
            "m" + std::to_string(i), "llm", prefill, f.engine()));
    f.options.pause = base::milliseconds(10000);
    const auto balancer = f.start();
    f.relay.run_until([&] { return f.orders.size() == 2; });
    f.let_pass(base::milliseconds(100));
    // One of 24 engines at a time.
    cr_assert(f.orders.size() == 2);
    cr_assert(f.orders[0] == "decode 10 3" && f.orders[1] == "decode 10 3");
    cr_assert(f.store.writes == 1);
}

Test(phase_balancer, an_engine_that_says_nothing_does_not_hold_up_the_others) {
    fixture f;
    const script mute = [](const received_request&,
                           const event::connection_ptr&) {};
    f.relay.add_server("mute", "llm", prefill, mute);
    for (int i = 0; i < 41; ++i)
        f.engines.push_back(&f.relay.add_server(
            "m" + std::to_string(i), "llm", prefill, f.engine()));
    const auto balancer = f.start();
    f.relay.run_until([&] { return f.orders.size() >= 6; });
    cr_assert(f.store.writes >= 3);
}
