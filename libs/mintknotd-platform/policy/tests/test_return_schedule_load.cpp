/// @file
/// The return schedule under the load that it is made for: a burst that exceeds
/// the decode memory of a service. Guards against callers that return at a time
/// at which there is no capacity, and against return times that they cannot
/// obey.

#include "burst_simulation.hpp"

#include <criterion/criterion.h>

#include <algorithm>
#include <map>
#include <memory>
#include <random>

using namespace mintknot;
using namespace mintknot::policy;
using namespace mintknot::policy::tests;
using base::milliseconds;

namespace {

/// @return the sum over several loads; small groups need more to be
/// significant.
outcome run(scenario options) {
    outcome sum;
    const int runs = std::max(1, 600 / options.instances);
    for (int i = 0; i < std::min(runs, 20); ++i, ++options.seed)
        sum += burst_simulation(options).run();
    return sum;
}

void print(const char* name, int instances, const outcome& seen) {
    cr_log_warn(
        "%s, %d instances: %d callers, %.3f served at first, %d refused, "
        "%.3f again, %d came at their time, %.3f of them served, "
        "%d times beyond what callers obey, %d final",
        name, instances, seen.callers, seen.first_share(), seen.refused,
        seen.again_share(), seen.promised, seen.on_time_share(), seen.beyond,
        seen.final_refusals);
}

} // namespace

/// The load of the requirement: twice the load of deployment 2 for 4 s.
Test(return_schedule_load, callers_that_come_at_their_time_are_served) {
    for (const int instances : {9, 76, 300, 986}) {
        const outcome before = run({instances, true});
        const outcome seen = run({instances, false});
        print("before", instances, before);
        print("after", instances, seen);
        cr_expect(before.beyond > 0);
        cr_expect(seen.promised > 0);
        cr_expect(seen.on_time_share() >= 0.9);
        cr_expect(seen.again_share() <= 0.05);
        cr_expect(seen.beyond == 0);
        // Guards against returns that take the place of first tries.
        cr_expect(seen.first_share() >= before.first_share() - 0.005);
    }
}

/// A burst of about twice what the engines can serve. Not all callers can be
/// served within the third of their deadline for which they wait.
Test(return_schedule_load, promises_hold_in_a_burst_beyond_capacity) {
    for (const int instances : {9, 76, 300, 986}) {
        const outcome before = run({instances, true, 4.0});
        const outcome seen = run({instances, false, 4.0});
        print("before, larger burst", instances, before);
        print("after, larger burst", instances, seen);
        cr_expect(instances <= 24 || seen.on_time_share() >= 0.9);
        cr_expect(seen.beyond == 0);
    }
}

namespace {

/// Whether something happens in a share of cases, by one sequence for all runs.
std::function<bool()> in_share(double share) {
    return [share, random = std::make_shared<std::mt19937>(3)] {
        return std::uniform_real_distribution<double>(0.0, 1.0)(*random) <
               share;
    };
}

} // namespace

/// One answer in ten is lost if one datagram in twenty is: these callers are
/// told a time by the rule of their instance, and come as ordinary requests.
Test(return_schedule_load, lost_datagrams_leave_times_within_bounds) {
    scenario options{76, false};
    options.lost = in_share(0.1);
    const outcome seen = run(options);
    print("datagrams lost", 76, seen);
    cr_expect(seen.beyond == 0);
    cr_expect(seen.on_time_share() >= 0.9);
}

/// The schedulers are killed in the burst, or all instances restarted: promises
/// are lost, and their callers come as ordinary requests.
Test(return_schedule_load, lost_state_leaves_times_within_bounds) {
    for (const int instances : {9, 76, 300}) {
        scenario options{instances, false};
        options.restart = milliseconds{15000};
        const outcome seen = run(options);
        print("state lost", instances, seen);
        cr_expect(seen.beyond == 0);
        cr_expect(seen.again_share() <= 0.1);
    }
}

/// Two schedulers of one domain promise the same capacity, and half of the
/// callers return to the other one: they are served or refused once more, and
/// told a time that they obey.
Test(return_schedule_load, two_schedulers_leave_times_within_bounds) {
    for (const int instances : {76, 300}) {
        scenario options{instances, false};
        options.schedulers = 2;
        const outcome seen = run(options);
        print("two schedulers", instances, seen);
        cr_expect(seen.beyond == 0);
        cr_expect(seen.again_share() <= 0.25);
    }
}

/// Data centres that are cut off from each other serve their own callers by
/// their own schedules.
Test(return_schedule_load, promises_hold_in_data_centres_cut_off) {
    for (const int instances : {76, 300}) {
        scenario options{instances, false};
        options.cut_off = true;
        const outcome seen = run(options);
        print("cut off", instances, seen);
        cr_expect(seen.beyond == 0);
        cr_expect(seen.on_time_share() >= 0.9);
    }
}
