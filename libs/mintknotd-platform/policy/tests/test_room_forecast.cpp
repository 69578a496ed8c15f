#include <mintknot/policy/room_forecast.hpp>

#include <criterion/criterion.h>

#include <cmath>

using namespace mintknot;
using namespace mintknot::policy;

namespace {

constexpr base::milliseconds hold{4000};

} // namespace

Test(room_forecast, what_fits_waits_for_nothing) {
    const auto forecast = forecast_room({{3000.0, 37000.0}}, 2000.0, hold);
    cr_assert(forecast.wait == base::milliseconds{0});
}

Test(room_forecast, the_engine_with_room_first_counts) {
    // 40,000 tokens held for 4 s each set free 10 a millisecond.
    const auto forecast =
        forecast_room({{0.0, 40000.0}, {2000.0, 40000.0}}, 3000.0, hold);
    cr_assert(forecast.wait == base::milliseconds{100});
    cr_assert(std::abs(forecast.release_rate - 20.0) < 1e-9);
}

Test(room_forecast, others_in_front_take_the_room_of_all_engines) {
    const auto forecast =
        forecast_room({{0.0, 40000.0}, {0.0, 40000.0}}, 3000.0, hold);
    cr_assert(wait_behind(forecast, 0.0) == base::milliseconds{300});
    cr_assert(wait_behind(forecast, 10000.0) == base::milliseconds{800});
}

Test(room_forecast, what_no_engine_can_hold_is_not_foreseen) {
    cr_assert(!forecast_room({{500.0, 9500.0}}, 20000.0, hold).wait);
    cr_assert(!forecast_room({}, 100.0, hold).wait);
    cr_assert(!wait_behind(forecast_room({}, 100.0, hold), 10.0));
}

Test(room_forecast, forecasts_of_two_groups_are_joined) {
    const auto left = forecast_room({{0.0, 40000.0}}, 3000.0, hold);
    const auto right = forecast_room({{2000.0, 40000.0}}, 3000.0, hold);
    const auto both = joined(left, right);
    cr_assert(both.wait == base::milliseconds{100});
    cr_assert(std::abs(both.release_rate - 20.0) < 1e-9);
    cr_assert(joined({}, right).wait == base::milliseconds{100});
}

Test(room_forecast, an_engine_that_is_avoided_counts_from_then_on) {
    const auto forecast = forecast_room(
        {{5000.0, 0.0, base::milliseconds(400)}, {0.0, 4000.0}}, 3000.0, hold);
    cr_assert(forecast.wait == base::milliseconds{400});
}
