/// @file
/// Load tests of the sharing of capacity by priority, organisation and data
/// centre, each beside the figure of placement in the order of arrival.

#include "fair_share_load.hpp"

using namespace mintknot::policy::tests;

// Guard against urgent requests that are refused while capacity goes to less
// urgent ones, and against a priority that gets nothing.
Test(fair_share_load, urgent_requests_go_first_in_a_small_group) {
    check_priorities(small);
}

Test(fair_share_load, urgent_requests_go_first_in_a_group_of_76) {
    check_priorities(medium);
}

Test(fair_share_load, urgent_requests_go_first_in_a_group_of_300) {
    check_priorities(large);
}

Test(fair_share_load, urgent_requests_go_first_in_a_group_of_986) {
    check_priorities(very_large);
}

// Guards against less urgent requests that get nothing while urgent ones could
// take three times the capacity.
Test(fair_share_load, less_urgent_requests_keep_a_tenth) {
    const priorities_seen after = run_priorities(options_of(medium, true), 2.7);
    cr_assert(after.other_share >= 0.1, "%.3f", after.other_share);
}

// Guard against a burst of one organisation that displaces all others.
Test(fair_share_load, others_keep_their_share_in_a_group_of_76) {
    check_organisations(medium, 0.02);
}

Test(fair_share_load, others_keep_their_share_in_a_group_of_300) {
    check_organisations(large, 0.02);
}

Test(fair_share_load, others_keep_their_share_in_a_group_of_986) {
    check_organisations(very_large, 0.02);
}

// Guards against a new scheduler, which knows of no demand, that serves whoever
// comes first until it has learned for long.
Test(fair_share_load, a_new_scheduler_learns_within_its_window) {
    domain_options options = options_of(medium, true);
    options.scheduler_replaced_at = milliseconds{8000};
    const double urgent = run_priorities(options, 0.75).urgent;
    cr_assert(urgent >= 0.95, "%.3f", urgent);
    const double others = run_organisations(options, 8.0);
    cr_assert(others >= 0.97, "%.3f", others);
}

// Guards against decisions that need each question of a waiting request.
Test(fair_share_load, lost_questions_do_not_change_the_order) {
    domain_options options = options_of(medium, true);
    options.lost_questions = 0.05;
    const double urgent = run_priorities(options, 0.75).urgent;
    cr_assert(urgent >= 0.95, "%.3f", urgent);
}
