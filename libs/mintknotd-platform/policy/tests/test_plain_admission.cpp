#include "plain_load.hpp"

#include <criterion/criterion.h>

#include <string>

using namespace mintknot;
using namespace mintknot::policy;
using namespace mintknot::policy::tests;
using base::milliseconds;

namespace {

/// Shares that the admission must keep to at twice the capacity.
constexpr double max_rejected_share = 0.05;
constexpr double min_in_time_share = 0.95;
constexpr unsigned seeds = 3;
/// Repeated sends over all instances: 0.2 of requests, and 192.
double retry_budget(const plain_load& load) {
    int tries = 0;
    for (const load_result& result : load.results)
        tries += result.tries;
    return 0.2 * tries + 192.0;
}

void log_figures(const std::string& name, const plain_load& load) {
    for (const load_result& result : load.results)
        cr_log_info(
            "%s: %d callers, %d tries, %d in time, %d late, %d refused, %d "
            "failed; all: "
            "%.3f of the possible in time, %.4f of %d arrivals rejected, %d "
            "repeats",
            name.c_str(), result.callers, result.tries, result.in_time,
            result.late, result.refused, result.failed, load.in_time_share(),
            load.rejected_share(), load.sent, load.repeats);
}

plain_load
run(const load_options& options, double fault_ms = 0.0,
    const std::function<void(plain_load&)>& fault = {}) {
    plain_load load(options);
    if (fault)
        load.at(fault_ms, [&] { fault(load); });
    load.run();
    return load;
}

/// Asserts that the bounds are kept with several seeds, and the one of calls in
/// time on average. A fault is made in the middle of the burst.
void assert_within_bounds(
    const std::string& name, load_options options,
    double min_share = min_in_time_share,
    const std::function<void(plain_load&)>& fault = {}) {
    double sum = 0.0;
    for (options.seed = 1; options.seed <= seeds; ++options.seed) {
        const plain_load load = run(options, 3000.0, fault);
        log_figures(name, load);
        cr_assert(load.rejected_share() <= max_rejected_share);
        cr_assert(load.repeats <= retry_budget(load));
        // The way to a scheduler, and that of rejected calls to servers.
        cr_assert(load.longest_refusal_ms < 20.0);
        sum += load.in_time_share();
    }
    cr_log_info("%s: mean %.3f", name.c_str(), sum / seeds);
    cr_assert(sum / seeds >= min_share, "%s: %f", name.c_str(), sum / seeds);
}

std::vector<server_spec> uneven_servers() {
    return {{6, 30.0, 24},  {6, 120.0, 24}, {3, 60.0, 12},
            {12, 60.0, 24}, {6, 45.0, 8},   {8, 90.0, 24}};
}

} // namespace

// Guards against full queues at plain servers, in which calls lose their
// target.
Test(plain_admission, twice_the_capacity_is_served_in_time, .timeout = 120) {
    for (const std::size_t instances : {9U, 76U, 300U, 986U})
        for (const bool exponential : {true, false}) {
            load_options options;
            options.instances = instances;
            options.exponential = exponential;
            const std::string name = std::to_string(instances) +
                                     (exponential ? " random" : " constant");
            assert_within_bounds(name, options);
            options.admission = false;
            const plain_load before = run(options);
            log_figures(name + ", earlier rule", before);
            cr_assert(before.rejected_share() > 0.5);
            cr_assert(before.in_time_share() < 0.9);
        }
}

// Guards against shares of the load that assume equal servers.
Test(plain_admission, servers_of_unequal_speed_slots_and_queues) {
    for (const std::size_t instances : {9U, 76U, 300U, 986U}) {
        load_options options;
        options.instances = instances;
        options.servers = uneven_servers();
        const std::string name = std::to_string(instances) + " uneven";
        assert_within_bounds(name, options);
        options.admission = false;
        const plain_load before = run(options);
        log_figures(name + ", earlier rule", before);
        cr_assert(before.rejected_share() > 0.5);
        cr_assert(before.in_time_share() < min_in_time_share);
    }
}

// Guards against refusals where capacity is not short.
Test(plain_admission, calls_within_capacity_are_not_refused) {
    for (const std::size_t instances : {1U, 9U, 76U, 986U})
        for (const double load_factor : {0.02, 0.5, 0.75}) {
            load_options options;
            options.instances = instances;
            options.kinds[0].load = load_factor;
            options.calm_load = load_factor;
            const plain_load load = run(options);
            log_figures(
                std::to_string(instances) + " at " +
                    std::to_string(load_factor),
                load);
            cr_assert(load.results[0].refused == 0);
            cr_assert(load.rejected == 0);
        }
}

// Guards against urgent calls that lose their place to less urgent ones, and
// against less urgent ones that get nothing.
Test(plain_admission, urgent_calls_come_first) {
    for (const std::size_t instances : {9U, 76U, 300U, 986U})
        for (const double urgent : {0.5, 0.9, 2.0}) {
            load_options options;
            options.instances = instances;
            options.kinds = {{0, urgent}, {2, 2.0}};
            const plain_load load = run(options);
            const std::string name =
                std::to_string(instances) + " urgent " + std::to_string(urgent);
            log_figures(name, load);
            const load_result& first = load.results[0];
            // At 0.9 the less urgent calls keep all that is left, and each
            // call that waits is one of the urgent ones.
            if (urgent < 1.0)
                cr_assert(
                    first.in_time >=
                    (urgent < 0.8 ? 0.95 : 0.85) * first.callers);
            cr_assert(load.results[1].in_time >= 0.09 * load.capacity());
            cr_assert(load.rejected_share() <= max_rejected_share);
            options.admission = false;
            const plain_load before = run(options);
            log_figures(name + ", earlier rule", before);
            cr_assert(
                before.results[0].in_time < 0.6 * before.results[0].callers);
        }
}

// Guards against a kind of call that gets less than another of equal priority.
Test(plain_admission, equal_priorities_share_equally) {
    load_options options;
    options.kinds = {{2, 1.0}, {2, 1.0}};
    const plain_load load = run(options);
    log_figures("equal", load);
    const double ratio =
        static_cast<double>(load.results[0].in_time) / load.results[1].in_time;
    cr_assert(ratio > 0.9 && ratio < 1.1, "%f", ratio);
}

// Guards against callers who return at once and crowd out all others.
Test(plain_admission, hasty_callers_change_nothing) {
    load_options options;
    options.kinds[0].heeding_share = 0.2;
    options.kinds[0].max_returns = 5;
    assert_within_bounds("hasty", options);
}

// Guards against targets of a few service times, with 120 ms for 15 ms.
Test(plain_admission, short_targets_of_fast_servers) {
    for (const std::size_t instances : {9U, 76U}) {
        load_options options;
        options.instances = instances;
        options.servers = std::vector<server_spec>(3, {6, 15.0, 24});
        options.kinds[0].target_ms = 120.0;
        assert_within_bounds(std::to_string(instances) + " fast", options);
    }
}

// Guards against calls that go on to a server that has crashed or left.
Test(plain_admission, a_server_goes_under_load) {
    // Four of the six seconds without a sixth of the capacity.
    assert_within_bounds(
        "server gone", {}, min_in_time_share * (1.0 - 4.0 / 36.0),
        [](plain_load& load) { load.remove_server(2); });
    const plain_load load =
        run({}, 3000.0, [](plain_load& on) { on.remove_server(2); });
    cr_assert(load.results[0].failed <= 30, "only what it held");
}

// Guards against a server that seems fast because it fails part of its calls.
Test(plain_admission, a_server_fails_part_of_its_calls) {
    load_options options;
    options.servers[2].failing_share = 0.3;
    assert_within_bounds("failing", options);
    const plain_load load = run(options);
    // A failed call takes no slot, so the server takes 1 / 0.7 as many calls as
    // the others for the same work; more would be calls that it attracts.
    cr_assert(load.sent_to[2] < 1.1 / 0.7 * load.sent_to[1]);
}

// Guards against calls beyond the rate that a server states.
Test(plain_admission, a_server_states_a_rate_limit) {
    int sent_before = 0;
    const auto limit = [&](plain_load& load) {
        load.limit_server(2, 20.0);
        sent_before = load.sent_to[2];
    };
    assert_within_bounds(
        "limited", {}, min_in_time_share * (1.0 - 4.0 / 36.0), limit);
    const plain_load load = run({}, 3000.0, limit);
    // 20 calls a second for 4 s, and the callers who return afterwards.
    cr_assert(load.sent_to[2] - sent_before <= 110);
}

// Guards against calls to a server that has asked for a rest.
Test(plain_admission, a_server_rests) {
    int sent_before = 0;
    int sent_in_rest = 0;
    const auto rest = [&](plain_load& load) {
        load.rest_server(2, milliseconds(2000));
        sent_before = load.sent_to[2];
        load.at(4990.0, [&] { sent_in_rest = load.sent_to[2] - sent_before; });
    };
    assert_within_bounds(
        "rest", {}, min_in_time_share * (1.0 - 2.0 / 36.0), rest);
    const plain_load load = run({}, 3000.0, rest);
    cr_assert(sent_in_rest <= 4, "what was on its way");
    cr_assert(load.sent_to[2] > sent_before + 100, "used again");
}

// Guards against a new scheduler that knows nothing and floods the servers, or
// refuses everything.
Test(plain_admission, the_scheduler_is_replaced) {
    for (const std::size_t instances : {76U, 986U})
        assert_within_bounds(
            std::to_string(instances) + " new scheduler",
            {.instances = instances}, min_in_time_share,
            [](plain_load& load) { load.replace_scheduler(); });
}

// Guards against loads that are wrong for long because a report was lost.
Test(plain_admission, load_reports_are_lost) {
    for (const std::size_t instances : {9U, 76U, 300U}) {
        load_options options;
        options.instances = instances;
        options.lost_reports = 0.05;
        assert_within_bounds(std::to_string(instances) + " lost", options);
    }
}
