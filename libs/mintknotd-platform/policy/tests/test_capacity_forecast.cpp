#include <mintknot/policy/capacity_forecast.hpp>

#include <criterion/criterion.h>

#include <cmath>

using namespace mintknot;
using namespace mintknot::policy;

namespace {

constexpr base::milliseconds hold{4000};

} // namespace

Test(capacity_forecast, no_wait_if_request_fits) {
    const auto forecast = forecast_capacity({{3000.0, 37000.0}}, 2000.0, hold);
    cr_assert(forecast.wait == base::milliseconds{0});
}

Test(capacity_forecast, earliest_engine_determines_wait) {
    // 40,000 tokens held for 4 s on average: each engine releases 10 per
    // millisecond.
    const auto forecast =
        forecast_capacity({{0.0, 40000.0}, {2000.0, 40000.0}}, 3000.0, hold);
    cr_assert(forecast.wait == base::milliseconds{100});
    cr_assert(std::abs(forecast.release_rate - 20.0) < 1e-9);
}

Test(capacity_forecast, requests_ahead_use_memory_of_all_engines) {
    const auto forecast =
        forecast_capacity({{0.0, 40000.0}, {0.0, 40000.0}}, 3000.0, hold);
    cr_assert(wait_behind(forecast, 0.0) == base::milliseconds{300});
    cr_assert(wait_behind(forecast, 10000.0) == base::milliseconds{800});
}

Test(capacity_forecast, no_forecast_if_no_engine_can_take_request) {
    cr_assert(!forecast_capacity({{500.0, 9500.0}}, 20000.0, hold).wait);
    cr_assert(!forecast_capacity({}, 100.0, hold).wait);
    cr_assert(!wait_behind(forecast_capacity({}, 100.0, hold), 10.0));
}

Test(capacity_forecast, forecasts_are_merged) {
    const auto left = forecast_capacity({{0.0, 40000.0}}, 3000.0, hold);
    const auto right = forecast_capacity({{2000.0, 40000.0}}, 3000.0, hold);
    const auto both = merge_forecasts(left, right);
    cr_assert(both.wait == base::milliseconds{100});
    cr_assert(std::abs(both.release_rate - 20.0) < 1e-9);
    cr_assert(merge_forecasts({}, right).wait == base::milliseconds{100});
}

Test(capacity_forecast, avoided_engine_counts_after_avoidance_ends) {
    const auto forecast = forecast_capacity(
        {{5000.0, 0.0, base::milliseconds(400)}, {0.0, 4000.0}}, 3000.0, hold);
    cr_assert(forecast.wait == base::milliseconds{400});
}
