/// @file
/// Sharing of scarce capacity: one test for each failure that it guards
/// against.

#include <mintknot/policy/fair_share.hpp>

#include <criterion/criterion.h>

#include <algorithm>
#include <array>
#include <random>
#include <string>

using namespace mintknot;
using namespace mintknot::policy;
using base::milliseconds;

namespace {

const base::steady_time begin = base::steady_time{} + std::chrono::hours(1);
constexpr double cost = 1000.0;
/// Releases one request in 10 ms.
const domain_capacity one_free{90000.0, cost, 100.0, "e", cost};
const domain_capacity none_free{90000.0, 0.0, 100.0, {}, 0.0};

struct asker {
    int priority = 1;
    std::string organisation{};
    std::string data_centre = "a";
    bool waiting = false;
};

/// A domain whose requests all cost the same.
struct domain {
    /// Asks for capacity and records the outcome.
    capacity_denial
    ask(const asker& who, const domain_capacity& capacity, milliseconds at) {
        capacity_claim claim;
        claim.priority = who.priority;
        claim.organisation = who.organisation;
        claim.target_left = milliseconds{800};
        claim.waiting = who.waiting;
        const share_request request{claim, who.data_centre, cost};
        const base::steady_time now = begin + at;
        note_asked(state, request, now);
        share_decision decision = admit_by_share(state, request, capacity, now);
        last = decision;
        if (decision.denial == capacity_denial::none &&
            capacity.free < request.cost)
            decision.denial = capacity_denial::no_capacity;
        if (decision.denial == capacity_denial::none)
            note_served(state, request, now);
        else
            note_denied(
                state, request, decision.denial, decision.expected_wait, now);
        return decision.denial;
    }
    fair_share_state state;
    share_decision last;
};

} // namespace

// Guards against capacity that stays unused while nothing is short.
Test(fair_share, everything_is_admitted_while_capacity_is_not_short) {
    domain d;
    for (int i = 0; i < 400; ++i)
        cr_assert(
            d.ask(
                {i % 3, "o" + std::to_string(i % 2), "a"}, one_free,
                milliseconds{i * 5}) == capacity_denial::none);
}

// Guards against a less urgent request that takes what an urgent one waits for.
Test(fair_share, a_request_yields_to_a_more_urgent_one_that_waits) {
    domain d;
    d.ask({0}, none_free, milliseconds{0});
    cr_assert(
        d.ask({2}, one_free, milliseconds{20}) ==
        capacity_denial::reserved_for_priority);
    cr_assert(d.last.inputs.kept_for == "priority 0");
    cr_assert(d.last.inputs.shortage_age == milliseconds{20});
    cr_assert(
        d.ask({0, "", "a", true}, one_free, milliseconds{30}) ==
        capacity_denial::none);
    cr_assert(
        d.ask({2, "", "a", true}, one_free, milliseconds{40}) ==
        capacity_denial::none);
}

// Guards against capacity that is kept for requests that no longer ask.
Test(fair_share, requests_that_gave_up_hold_nothing_back) {
    domain d;
    d.ask({0}, none_free, milliseconds{0});
    cr_assert(d.ask({2}, one_free, milliseconds{160}) == capacity_denial::none);
}

// Guards against a waiting request that counts as new demand with each
// question, and so keeps less urgent ones away from all capacity.
Test(fair_share, questions_of_a_waiting_request_are_no_new_demand) {
    domain d;
    for (int i = 0; i < 60; ++i)
        d.ask({0, "", "a", i > 0}, none_free, milliseconds{i * 15});
    const auto now = begin + milliseconds{900};
    cr_assert(sum(d.state.priorities[0].asked, now) == cost);
    cr_assert(waiting_cost(d.state.priorities[0], now) <= cost);
}

// Guards against callers that return at once and often, each time as if they
// were another one.
Test(fair_share, a_caller_that_returns_often_counts_once) {
    fair_share_state state;
    capacity_claim claim;
    claim.caller_retry = true;
    claim.digest = 7;
    for (int i = 0; i < 50; ++i)
        note_asked(state, {claim, "a", cost}, begin + milliseconds{i * 20});
    cr_assert(
        sum(state.priorities[2].asked, begin + milliseconds{1000}) == cost);
}

// Guards against a priority that gets nothing while more urgent requests could
// take everything.
Test(fair_share, each_priority_keeps_a_tenth) {
    domain d;
    int served = 0;
    for (int i = 0; i < 1000; ++i) {
        const milliseconds at{i * 10};
        // Both wait all the time; one request is released in 10 ms, and the
        // urgent one asks first.
        d.ask({0}, none_free, at);
        d.ask({2, "", "a", true}, none_free, at);
        if (d.ask({0, "", "a", true}, one_free, at) == capacity_denial::none)
            continue;
        // Guards against two requests that yield to each other.
        cr_assert(
            d.ask({2, "", "a", true}, one_free, at) == capacity_denial::none);
        ++served;
    }
    cr_assert(served >= 95 && served <= 130, "%d", served);
}

// Guards against idle time that is saved up as a claim to all capacity later,
// and against an organisation that is held back for ever.
Test(fair_share, organisations_alternate_while_both_wait) {
    domain d;
    std::array<int, 2> served{};
    const std::array<std::string, 2> names{"large", "small"};
    for (int i = 0; i < 1000; ++i) {
        const milliseconds at{i * 10};
        for (const std::size_t who : {0U, 1U})
            if (who == 0 || i >= 500)
                d.ask({1, names.at(who), "a", false}, none_free, at);
        for (const std::size_t who : {0U, 1U})
            if ((who == 0 || i >= 500) &&
                d.ask({1, names.at(who), "a", true}, one_free, at) ==
                    capacity_denial::none) {
                served.at(who) += i >= 500 ? 1 : 0;
                break;
            }
    }
    cr_assert(served[1] > 200 && served[1] < 300, "%d", served[1]);
    cr_assert(served[0] > 200 && served[0] < 300, "%d", served[0]);
}

// The same for data centres, in a group without organisations.
Test(fair_share, data_centres_alternate_while_both_wait) {
    domain d;
    std::array<int, 2> served{};
    const std::array<std::string, 2> names{"near", "far"};
    for (int i = 0; i < 500; ++i) {
        const milliseconds at{i * 10};
        for (const std::string& name : names)
            d.ask({1, "", name, false}, none_free, at);
        for (const std::size_t who : {0U, 1U})
            if (d.ask({1, "", names.at(who), true}, one_free, at) ==
                capacity_denial::none) {
                ++served.at(who);
                break;
            }
    }
    cr_assert(
        served[1] > 180 && served[0] > 180, "%d %d", served[0], served[1]);
}

// Guards against a competitor that disappears (organisation removed or renamed,
// data centre cut off) and whose share stays unused.
Test(fair_share, the_share_of_one_that_disappears_is_used) {
    domain d;
    for (int i = 0; i < 100; ++i) {
        d.ask({1, "gone"}, none_free, milliseconds{i * 10});
        d.ask({1, "here"}, none_free, milliseconds{i * 10});
        d.ask({1, "here", "a", true}, one_free, milliseconds{i * 10});
    }
    cr_assert(
        d.ask({1, "here", "a", true}, one_free, milliseconds{1200}) ==
        capacity_denial::none);
    cr_assert(
        d.ask({1, "renamed"}, one_free, milliseconds{1201}) ==
        capacity_denial::none);
}

// Guards against memory that grows with the number of organisations.
Test(fair_share, organisations_are_bounded_and_evicted_when_idle) {
    domain d;
    const auto count = [&d] {
        std::size_t sum = 0;
        for (const priority_demand& priority : d.state.priorities)
            sum += priority.organisations.size();
        return sum;
    };
    for (int i = 0; i < 5000; ++i)
        d.ask({i % 3, "o" + std::to_string(i)}, none_free, milliseconds{i});
    cr_assert(count() <= max_organisations + max_priorities);
    d.ask({1, "x"}, none_free, milliseconds{30000});
    cr_assert(count() == 1);
}

namespace {

constexpr int organisations = 16;
constexpr double calls_per_ms = 0.6; ///< Released by the servers.

struct plain_burst {
    bool shares = true;
    double burst = 8.0;
};

/// Plain calls of 0.8 of the capacity, a quarter of them of one organisation,
/// which bursts after three seconds. Calls do not wait: one that would take
/// longer than 240 ms is refused.
/// @return the share of the others' calls that are served during the burst.
double run_plain_burst(const plain_burst& options) {
    fair_share_state state;
    std::minstd_rand random{3};
    std::uniform_real_distribution<double> draw(0.0, 1.0);
    double queued = 0.0;
    int asked = 0;
    int served = 0;
    for (int ms = 0; ms < 10000; ++ms) {
        queued = std::max(0.0, queued - calls_per_ms);
        const base::steady_time now = begin + milliseconds{ms};
        const bool bursts = ms > 3000;
        for (int turn = 0; turn < organisations; ++turn) {
            const int who = (turn + ms) % organisations;
            const double factor = bursts ? options.burst : 1.0;
            if (draw(random) >= calls_per_ms * (who == 0 ? 0.2 * factor : 0.04))
                continue;
            capacity_claim claim;
            claim.organisation = "o" + std::to_string(who);
            const share_request call{claim, "a", 1.0};
            note_asked(state, call, now);
            capacity_denial denial = capacity_denial::none;
            if (queued > calls_per_ms * 240.0)
                denial = capacity_denial::late;
            else if (options.shares)
                denial = admit_call_by_share(
                             state, call, {36.0, 0.0, calls_per_ms}, now)
                             .denial;
            asked += bursts && who != 0 ? 1 : 0;
            if (denial != capacity_denial::none) {
                note_denied(state, call, denial, milliseconds{0}, now);
                continue;
            }
            queued += 1.0;
            note_served(state, call, now);
            served += bursts && who != 0 ? 1 : 0;
        }
    }
    return static_cast<double>(served) / asked;
}

} // namespace

// Guards against plain calls of one organisation that take the servers from
// all others.
Test(fair_share, a_burst_of_plain_calls_is_held_to_the_fair_rate) {
    const double calm = run_plain_burst({true, 1.0});
    const double before = run_plain_burst({false, 8.0});
    const double after = run_plain_burst({true, 8.0});
    cr_log_info("calm %.3f, before %.3f, shares %.3f", calm, before, after);
    cr_assert(before < 0.5, "%.3f", before);
    cr_assert(after >= calm - 0.02, "%.3f %.3f", after, calm);
}
