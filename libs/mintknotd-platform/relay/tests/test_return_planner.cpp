/// @file
/// Refusals for lack of capacity while capacity is shared: which Retry-After a
/// caller is told.

#include "relay_fixture.hpp"

#include <criterion/criterion.h>

using namespace mintknot;
using namespace mintknot::relay;
using namespace mintknot::relay::tests;
using base::milliseconds;

namespace {

constexpr auto plain = traffic::engine_phase::none;
constexpr auto decode = traffic::engine_phase::decode;

/// A planner whose answer is given by the test.
class scripted_planner final : public return_planner {
public:
    bool active() const override { return true; }
    std::unique_ptr<ticket>
    request_return(refused_request refused, return_handler then) override {
        asked.push_back(std::move(refused));
        handler = std::move(then);
        return std::make_unique<cancelling_ticket>(
            alive_, [this] { handler = nullptr; });
    }
    void answer(policy::return_kind kind, milliseconds retry_after) {
        const return_handler then = std::move(handler);
        handler = nullptr;
        then({{kind, retry_after, 0.0, 0.0}, "x"});
    }
    std::vector<refused_request> asked;
    return_handler handler;

private:
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

/// A decode engine that is full for long, so that streams are refused.
void add_full_engine(relay_fixture& f) {
    f.add_server("d", "llm", decode, good_decode());
    for (int i = 0; i < 300; ++i)
        policy::note_decode(
            f.context.state.demands["llm"], 0.5, milliseconds(3000));
    traffic::add(f.context.state.loads, "d", {1, 0.0, 9500.0});
    f.context.state.capacity_sharing = true;
}

std::string stream(int deadline, const std::string& id = "r1") {
    return request(
        "/stream/x", "Id: " + id + "\r\nTokens: 5000\r\nDeadline: " +
                         std::to_string(deadline) + "\r\n");
}

int retry_after_of(const caller_view& seen) {
    cr_assert(seen.status == 503);
    return std::stoi(seen.field("Retry-After"));
}

script resting_for(int milliseconds) {
    return [=](const received_request& to, const event::connection_ptr& link) {
        std::string answer = rejection_of(to);
        answer.insert(
            answer.find("\r\n") + 2,
            "Rest: " + std::to_string(milliseconds) + "\r\n");
        link->write(answer);
    };
}

} // namespace

/// Guards against Retry-After values of 11 to 36 s for deadlines of 14 s.
Test(return_planner, a_refused_caller_is_told_a_time_that_it_obeys) {
    relay_fixture f;
    add_full_engine(f);
    for (int i = 0; i < 20; ++i) {
        const int told = retry_after_of(f.ask(stream(14000)));
        cr_assert(
            (told >= 250 && told <= 14000 / 3) || told > 13000, "%d", told);
    }
}

/// Guards against a request that is held until near its deadline.
Test(return_planner, without_time_to_be_served_the_refusal_is_final) {
    relay_fixture f;
    add_full_engine(f);
    const int told = retry_after_of(f.ask(stream(3000)));
    cr_assert(told > 2500 && told <= 3000, "%d", told);
}

Test(return_planner, the_schedulers_answer_is_told) {
    relay_fixture f;
    add_full_engine(f);
    scripted_planner planner;
    f.context.returns = &planner;
    event::timer soon(f.owner);
    soon.start(milliseconds(150), [&] {
        planner.answer(policy::return_kind::promised, milliseconds(1234));
    });
    cr_assert(retry_after_of(f.ask(stream(14000))) == 1234);
    cr_assert(planner.asked.size() == 1);
    const refused_request& refused = planner.asked[0];
    cr_assert(refused.service == "llm" && refused.cost >= 5000.0);
    cr_assert(refused.claim.digest != 0);
    cr_assert(refused.claim.deadline_left <= milliseconds(14000));
    cr_assert(refused.claim.deadline_left > milliseconds(13000));
    cr_assert(
        f.metrics.text().find("mintknot_returns_total{plan=\"promised\"} 1") !=
        std::string::npos);
}

/// The scheduler was killed, or a datagram was lost: the rule of the instance
/// alone holds, within what callers obey.
Test(return_planner, without_an_answer_the_own_rule_is_bounded) {
    relay_fixture f;
    add_full_engine(f);
    f.context.state.instances = 81;
    scripted_planner planner;
    f.context.returns = &planner;
    event::timer soon(f.owner);
    soon.start(milliseconds(150), [&] {
        planner.answer(policy::return_kind::unknown, milliseconds(0));
    });
    const int told = retry_after_of(f.ask(stream(14000)));
    cr_assert(told >= 250 && told <= 14000 / 3, "%d", told);
}

Test(return_planner, a_caller_that_disconnects_cancels_the_question) {
    relay_fixture f;
    add_full_engine(f);
    scripted_planner planner;
    f.context.returns = &planner;
    f.ask(stream(14000), [&] { return planner.handler != nullptr; });
    f.run_until([&] { return f.context.state.open_requests == 0; });
    cr_assert(planner.handler == nullptr);
}

/// Guards against a changed decision where capacity is not shared.
Test(return_planner, nobody_is_asked_while_capacity_is_not_shared) {
    relay_fixture f;
    add_full_engine(f);
    f.context.state.capacity_sharing = false;
    scripted_planner planner;
    f.context.returns = &planner;
    f.context.state.instances = 81;
    cr_assert(retry_after_of(f.ask(stream(14000))) > 14000);
    cr_assert(planner.asked.empty());
    cr_assert(f.context.state.admissions.empty());
    cr_assert(
        f.metrics.text().find("mintknot_returns_total") == std::string::npos);
}

/// Guards against the bounds seen before: 0.003 s and 129 s.
Test(return_planner, rests_of_servers_are_told_within_bounds) {
    for (const char* service : {"app", "llm"}) {
        const std::string path =
            service == std::string("app") ? "/unsafe/x" : "/stream/x";
        for (const int rest : {1300, 30000}) {
            relay_fixture f;
            f.context.state.capacity_sharing = true;
            f.add_server(
                "s", service, path == "/stream/x" ? decode : plain,
                resting_for(rest));
            const int told = retry_after_of(
                f.ask(request(path, "Id: r1\r\nDeadline: 3000\r\n")));
            cr_assert(told >= 250 && told <= 1000, "%s %d", service, told);
        }
    }
}

/// The promise of an instance without schedulers: a caller that returns at its
/// time is placed, and capacity is kept for it from other requests.
Test(return_planner, capacity_is_kept_for_a_caller_that_returns) {
    relay_fixture f;
    add_full_engine(f);
    const int told = retry_after_of(f.ask(stream(14000, "first")));
    const base::steady_time due = f.owner.now() + milliseconds(told);
    f.run_until([&] { return f.owner.now() >= due - milliseconds(30); });
    traffic::remove(f.context.state.loads, "d", {1, 0.0, 9500.0});
    traffic::add(f.context.state.loads, "d", {1, 0.0, 4000.0});
    policy::return_schedule& schedule =
        f.context.state.admissions[{"llm", ""}].returns;
    cr_assert(policy::kept_costs(schedule, 0, f.owner.now()).size() == 1);
    const auto denial_of_other = [&f] {
        policy::placement_query query;
        query.service = "llm";
        query.kind = policy::placement_kind::decode;
        query.memory_tokens = 5000.0;
        query.claim.emplace();
        return place_here(
                   f.context,
                   make_selection_inputs(
                       f.context, f.config.services.at("llm")),
                   query)
            .denial;
    };
    cr_assert(
        denial_of_other() == policy::capacity_denial::reserved_for_returns);
    const caller_view back = f.ask(stream(14000 - told - 20, "second"));
    cr_assert(back.status == 200, "%d", back.status);
    cr_assert(schedule.served == 1);
    cr_assert(denial_of_other() == policy::capacity_denial::none);
}

/// Guards against a return that is not recognised by an instance that has not
/// seen a longer deadline on the route.
Test(return_planner, each_claim_has_the_digest) {
    relay_fixture f;
    add_full_engine(f);
    const int told = retry_after_of(f.ask(stream(14000)));
    f.context.state.deadlines.clear();
    const base::steady_time due = f.owner.now() + milliseconds(told);
    f.run_until([&] { return f.owner.now() >= due - milliseconds(30); });
    traffic::remove(f.context.state.loads, "d", {1, 0.0, 9500.0});
    cr_assert(f.ask(stream(14000 - told)).status == 200);
    const auto& schedule = f.context.state.admissions[{"llm", ""}].returns;
    cr_assert(schedule.served == 1);
}

/// Guards against a promise to a caller whose patience is not known.
Test(return_planner, without_a_deadline_nothing_is_promised) {
    relay_fixture f;
    add_full_engine(f);
    retry_after_of(f.ask(request("/stream/x", "Id: r1\r\nTokens: 5000\r\n")));
    for (const auto& [domain, state] : f.context.state.admissions)
        cr_assert(state.returns.promises.empty());
}

/// Guards against a time that was within what the caller obeys only before the
/// scheduler was asked.
Test(return_planner, the_bound_is_that_of_the_time_of_the_answer) {
    relay_fixture f;
    add_full_engine(f);
    scripted_planner planner;
    f.context.returns = &planner;
    event::timer late(f.owner);
    late.start(milliseconds(600), [&] {
        planner.answer(policy::return_kind::promised, milliseconds(1000));
    });
    const int told = retry_after_of(f.ask(stream(3000)));
    cr_assert(told <= 2400 / 3, "%d", told);
}

/// Guards against promises that hold again when the switch is set once more.
Test(return_planner, state_is_dropped_when_the_switch_goes_off) {
    relay_fixture f;
    add_full_engine(f);
    retry_after_of(f.ask(stream(14000)));
    set_capacity_sharing(f.context.state, true);
    cr_assert(f.context.state.admissions.size() == 1);
    set_capacity_sharing(f.context.state, false);
    cr_assert(f.context.state.admissions.empty());
    cr_assert(!f.context.state.capacity_sharing);
}

/// Guards against state that grows by names from datagrams.
Test(return_planner, domains_without_servers_have_no_state) {
    relay_fixture f;
    add_full_engine(f);
    refused_request refused;
    refused.service = "llm";
    refused.claim.digest = 5;
    refused.claim.deadline_left = milliseconds(30000);
    refused.cost = 3000.0;
    plan_return_here(f.context, "nowhere", true, refused);
    policy::placement_query query;
    query.service = "llm";
    query.kind = policy::placement_kind::decode;
    query.claim.emplace();
    policy::selection_inputs inputs =
        make_selection_inputs(f.context, f.config.services.at("llm"));
    inputs.only_data_centre = "nowhere";
    place_here(f.context, inputs, query);
    cr_assert(f.context.state.admissions.empty());
    plan_return_here(f.context, "", true, refused);
    cr_assert(f.context.state.admissions.size() == 1);
}
