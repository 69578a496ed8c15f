/// @file
/// Load tests of the memory profile in virtual time, against the reservation of
/// the prompt and 0.6 of the expected output. The bounds of the design that are
/// not met are in test_memory_bounds.cpp.

#include "stream_groups.hpp"

#include <criterion/criterion.h>

using namespace mintknot;
using namespace mintknot::policy::tests;
using base::milliseconds;

// Guards against engines that run out of memory, which the reservation does
// not prevent.
Test(stream_admission, few_streams_are_preempted_beyond_capacity) {
    stream_load_options options = group_of(76, 45);
    options.rule = memory_rule::reservation;
    cr_assert(play_seeds(options).preempted_share() > max_preempted_share);
    options.rule = memory_rule::profile;
    cr_assert(play_seeds(options).preempted_share() <= max_preempted_share);
}

// Guards against a forecast that is worse where each instance has few streams
// and reports them less often.
Test(stream_admission, few_are_preempted_in_groups_of_300) {
    cr_assert(
        play_seeds(group_of(300, 60)).preempted_share() <= max_preempted_share);
}

Test(stream_admission, few_are_preempted_in_groups_of_986) {
    cr_assert(
        play_seeds(group_of(986, 117)).preempted_share() <=
        max_preempted_share);
}

// Guards against lost reports: the next one comes within 0.5 s.
Test(stream_admission, lost_reports_cost_little) {
    stream_load_options options = group_of(76, 45);
    options.lost_reports = 0.05;
    cr_assert(play_seeds(options).preempted_share() <= max_preempted_share);
}

// Guards against estimates that are wrong by a factor.
Test(stream_admission, estimates_of_twice_the_output_are_corrected) {
    stream_load_options options = group_of(76, 45);
    options.estimate_factor = 2.0;
    cr_assert(play_seeds(options).preempted_share() <= max_preempted_share);
}
