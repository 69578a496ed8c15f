#include <mintknot/policy/return_time.hpp>

#include <algorithm>
#include <cstdint>

namespace mintknot::policy {

namespace {

/// No caller is told to come back sooner: room is looked for again and again
/// within that time anyway.
constexpr base::milliseconds min_return{250};
/// Part of the room that is set free which callers who come back may take; the
/// rest goes to fresh requests. Of 0.1, 0.2 and 0.5 it served as many first
/// tries in time as the first and more than the last (83.9, 83.7 and 83.4 in
/// 100, thirty plays or more), and told callers the shorter time.
constexpr double returning_share = 0.2;
/// Longest retry time for callers of limited servers, so that they can retry
/// within deadlines of a few seconds.
constexpr base::milliseconds max_limited_return{4000};
/// Between the first failed calls an outage is as good as over.
constexpr base::milliseconds min_outage{250};
/// Callers name deadlines of some seconds: later than this, none would come.
constexpr base::milliseconds max_outage{30000};

base::milliseconds
time_for_room(const return_terms& terms, double release_rate) {
    const double share =
        returning_share /
        static_cast<double>(std::max<std::size_t>(terms.instances, 1));
    return base::milliseconds(
        static_cast<std::int64_t>(terms.tokens / (release_rate * share)));
}

} // namespace

base::milliseconds schedule_return(
    return_schedule& schedule, const return_terms& terms,
    base::steady_time now) {
    const base::milliseconds wait =
        std::max(min_return, terms.expected_wait.value_or(min_return));
    schedule.last = std::max(schedule.last, now + wait);
    if (terms.forecast.release_rate > 0.0)
        schedule.last += time_for_room(terms, terms.forecast.release_rate);
    return base::time_left(schedule.last, now);
}

base::milliseconds schedule_limited_return(
    return_schedule& schedule, base::milliseconds first, double rate,
    base::steady_time now) {
    const base::steady_time earliest =
        now + std::clamp(first, min_return, max_limited_return);
    const std::chrono::duration<double> longest = max_limited_return;
    const std::chrono::duration<double> gap(
        rate * longest.count() > 1.0 ? 1.0 / rate : longest.count());
    schedule.last = std::clamp(
        schedule.last + std::chrono::ceil<base::milliseconds>(gap), earliest,
        now + max_limited_return);
    return base::time_left(schedule.last, now);
}

base::milliseconds return_after_outage(base::milliseconds outage) {
    return std::clamp(outage, min_outage, max_outage);
}

} // namespace mintknot::policy
