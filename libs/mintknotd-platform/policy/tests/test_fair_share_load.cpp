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

namespace {

/// Callers of three data centres and no organisation: the first asks for 1.6 of
/// the capacity, each of the others for 0.2 until it is cut off.
/// @return what the callers of each data centre got.
std::vector<shares_seen> run_data_centres(bool shares, milliseconds cut) {
    domain_options options = options_of(medium, shares);
    options.by_data_centre = true;
    const double capacity = capacity_per_second(options.engines);
    std::vector<simulated_caller> callers;
    for (int i = 0; i < 3; ++i) {
        const std::size_t before = callers.size();
        caller_kind kind;
        kind.per_second = capacity * (i == 0 ? 1.6 : 0.2);
        add_callers(
            callers, kind, 1, i == 0 ? options.counted_until : cut,
            static_cast<unsigned>(i) + 1);
        for (std::size_t j = before; j < callers.size(); ++j)
            callers[j].data_centre = std::to_string(i);
    }
    shared_domain domain(options);
    auto seen = domain.run(std::move(callers));
    std::vector<shares_seen> result;
    for (const char* name : {"0", "1", "2"})
        result.push_back(seen[{1, name}]);
    cr_log_info(
        "%s: first %.3f, others %.3f and %.3f in time",
        shares ? "shares" : "before", result[0].in_time_share(),
        result[1].in_time_share(), result[2].in_time_share());
    return result;
}

} // namespace

// Guards against a data centre whose instances take the capacity of all others,
// in a group without organisations.
Test(fair_share_load, data_centres_keep_their_share) {
    const auto before = run_data_centres(false, medium.length);
    const auto after = run_data_centres(true, medium.length);
    for (const std::size_t other : {1U, 2U}) {
        cr_assert(before.at(other).in_time_share() < 0.8);
        cr_assert(after.at(other).in_time_share() >= 0.95);
    }
}

// Guards against the share of a data centre that is cut off staying unused.
Test(fair_share_load, the_share_of_a_data_centre_that_is_cut_off_is_used) {
    const int beside = run_data_centres(true, medium.length)[0].in_time;
    const int alone = run_data_centres(true, milliseconds{6000})[0].in_time;
    cr_assert(alone > 1.3 * beside, "%d %d", alone, beside);
}
