#include <mintknot/policy/output_lengths.hpp>

#include <criterion/criterion.h>

#include <cmath>
#include <limits>

using namespace mintknot;
using namespace mintknot::policy;

namespace {

const base::steady_time start = base::steady_time{} + std::chrono::hours(1);
constexpr output_estimate estimate{1000.0, true};

void note_streams(
    output_lengths& lengths, const std::string& route, double ratio,
    int count) {
    for (int i = 0; i < count; ++i)
        note_output(
            lengths, route, estimate,
            ratio * estimate.tokens * std::exp(0.1 * (i % 5 - 2)), start);
}

double median_of(
    const output_lengths& lengths, const std::string& route,
    base::steady_time now = start) {
    const output_forecast forecast =
        forecast_output(lengths, route, estimate, now);
    return forecast.expected * median_ratio(forecast.tail) / estimate.tokens;
}

} // namespace

Test(output_lengths, estimates_are_right_in_the_median_until_streams_are_seen) {
    const output_tail tail = forecast_output({}, "r", estimate, start).tail;
    cr_assert(std::abs(median_ratio(tail) - 1.0) < 0.02);
    cr_assert(std::abs(probability_above(tail, std::exp(0.5)) - 0.159) < 0.01);
    cr_assert(probability_above(tail, 0.01) == 1.0);
    cr_assert(probability_above(tail, 100.0) == 0.0);
}

// Guards against estimates that are wrong by a factor on one route: these are
// corrected, and those of other routes less so.
Test(output_lengths, a_wrong_factor_is_learned) {
    output_lengths lengths;
    note_streams(lengths, "r", 3.0, 200);
    note_streams(lengths, "s", 1.0, 200);
    cr_assert(std::abs(median_of(lengths, "r") - 3.0) < 0.5);
    cr_assert(std::abs(median_of(lengths, "s") - 1.0) < 0.2);
}

// Guards against a new route that is placed by the default although its service
// has shown what estimates are worth.
Test(output_lengths, a_new_route_has_the_distribution_of_its_service) {
    output_lengths lengths;
    note_streams(lengths, "r", 2.0, 200);
    cr_assert(std::abs(median_of(lengths, "new") - 2.0) < 0.3);
}

Test(output_lengths, what_was_learned_long_ago_gives_way_to_the_prior) {
    output_lengths lengths;
    note_streams(lengths, "r", 4.0, 200);
    const auto much_later = start + std::chrono::hours(2);
    cr_assert(std::abs(median_of(lengths, "r", much_later) - 1.0) < 0.2);
}

// Guards against state that grows with the number of routes.
Test(output_lengths, the_number_of_routes_is_bounded) {
    output_lengths lengths;
    for (int i = 0; i < 1000; ++i)
        note_output(lengths, "r" + std::to_string(i), estimate, 1000.0, start);
    cr_assert(lengths.routes.size() <= 128);
}

Test(output_lengths, the_pace_follows_the_streams) {
    output_lengths lengths;
    cr_assert(mean_event_time(lengths) == base::milliseconds(40));
    for (int i = 0; i < 100; ++i)
        note_pace(lengths, 70.0, base::milliseconds(7000));
    cr_assert(mean_event_time(lengths) > base::milliseconds(95));
}

// Guards against a caller that states an infinite output: the sums, and with
// them all later forecasts of the service, would no longer be numbers.
Test(output_lengths, an_infinite_estimate_does_not_spoil_the_others) {
    const base::steady_time then = base::steady_time{} + std::chrono::hours(1);
    output_lengths lengths;
    const double infinite = std::numeric_limits<double>::infinity();
    note_output(lengths, "r", {infinite, true}, 1000.0, then);
    note_output(lengths, "r", {1000.0, true}, 1000.0, then);
    const output_forecast seen =
        forecast_output(lengths, "r", {1000.0, true}, then);
    cr_assert(std::isfinite(seen.expected));
    cr_assert(std::isfinite(
        forecast_output(lengths, "r", {infinite, true}, then).expected));
}
