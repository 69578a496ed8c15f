#include <mintknot/policy/priority_reserve.hpp>

#include <algorithm>
#include <cmath>

namespace mintknot::policy {

namespace {

constexpr base::milliseconds part_length{250};
/// Parts over which demand is compared with the capacity: at the start of a
/// burst two seconds would tell too late.
constexpr std::size_t recent_parts = 3;
/// Standard deviations of the number of calls by which demand must exceed the
/// capacity: few calls arrive in that time at a small service, and by chance
/// often more than it completes. With 2 parts and 1, servers of 1 to 6 slots
/// refused up to 0.06 more calls below their capacity.
constexpr double chance_deviations = 4.0;
/// Share of the servers' time that all less urgent priorities keep together.
constexpr double guaranteed_share = 0.1;
/// How much of it may be saved up. Longer bursts of less urgent calls would
/// make more urgent ones late.
constexpr double max_saved_ms = 250.0;
/// The same for an instance without a scheduler, which has a small part of it:
/// with 1 the least urgent calls got 0.09 of the capacity in a group of 9.
constexpr double min_saved_calls = 4.0;

std::int64_t part_of(base::steady_time now) {
    return now.time_since_epoch() / part_length;
}

using part_counts = std::array<int, priority_demand::parts>;

int sum_of(
    const part_counts& counts, const priority_demand& demand,
    base::steady_time now, std::size_t parts) {
    const std::int64_t oldest = part_of(now) - static_cast<std::int64_t>(parts);
    int sum = 0;
    for (std::size_t i = 0; i < parts; ++i) {
        const std::int64_t number =
            demand.newest - static_cast<std::int64_t>(i);
        if (number > oldest)
            sum += counts
                [static_cast<std::size_t>(number) % priority_demand::parts];
    }
    return sum;
}

int calls_of(const priority_demand& demand, base::steady_time now) {
    return sum_of(demand.calls, demand, now, priority_demand::parts);
}

/// @return the length of so many parts, of which the newest has just begun.
double length_ms(std::size_t parts, base::steady_time now) {
    const std::chrono::duration<double, std::milli> newest =
        now.time_since_epoch() % part_length;
    return static_cast<double>((parts - 1) * part_length.count()) +
           newest.count();
}

/// @return how many priorities that ask have a more urgent one that asks.
int guaranteed_priorities(
    const priority_reserve& reserve, base::steady_time now) {
    const auto asking = std::count_if(
        reserve.by_priority.begin(), reserve.by_priority.end(),
        [&](const priority_demand& demand) {
            return calls_of(demand, now) > 0;
        });
    return std::max(1, static_cast<int>(asking) - 1);
}

} // namespace

std::size_t priority_index(int priority) noexcept {
    return static_cast<std::size_t>(std::clamp(
        priority, 0, static_cast<int>(priority_reserve::priorities) - 1));
}

void note_demand(
    priority_reserve& reserve, int priority, bool first_try,
    base::steady_time now) {
    priority_demand& demand = reserve.by_priority[priority_index(priority)];
    const std::int64_t current = part_of(now);
    const std::int64_t passed =
        std::min<std::int64_t>(current - demand.newest, priority_demand::parts);
    for (std::int64_t i = 0; i < passed; ++i) {
        const std::size_t part =
            static_cast<std::size_t>(current - i) % priority_demand::parts;
        demand.calls[part] = 0;
        demand.first_tries[part] = 0;
    }
    demand.newest = current;
    const std::size_t newest =
        static_cast<std::size_t>(current) % priority_demand::parts;
    ++demand.calls[newest];
    demand.first_tries[newest] += first_try ? 1 : 0;
}

double more_urgent_demand(
    const priority_reserve& reserve, int priority, base::steady_time now) {
    int calls = 0;
    for (std::size_t i = 0; i < priority_index(priority); ++i)
        calls += calls_of(reserve.by_priority[i], now);
    return calls / length_ms(priority_demand::parts, now);
}

bool exceeds_capacity(
    const priority_reserve& reserve, int priority, double release_rate,
    base::steady_time now) {
    int calls = 0;
    for (std::size_t i = 0; i <= priority_index(priority); ++i)
        calls += sum_of(
            reserve.by_priority[i].first_tries, reserve.by_priority[i], now,
            recent_parts);
    const double completed = release_rate * length_ms(recent_parts, now);
    return calls > completed + chance_deviations * std::sqrt(completed);
}

double reserved_share(
    priority_reserve& reserve, int priority, double demand, double release_rate,
    base::steady_time now) {
    if (release_rate <= 0.0)
        return 0.0;
    priority_demand& own = reserve.by_priority[priority_index(priority)];
    const double rate =
        guaranteed_share * release_rate / guaranteed_priorities(reserve, now);
    const std::chrono::duration<double, std::milli> passed =
        now - own.refilled_at;
    own.guaranteed = std::min(
        std::max(min_saved_calls, rate * max_saved_ms),
        own.guaranteed + rate * passed.count());
    own.refilled_at = now;
    if (own.guaranteed >= 1.0)
        return 0.0;
    return std::min(1.0 - guaranteed_share, demand / release_rate);
}

void note_placed(priority_reserve& reserve, int priority) {
    double& guaranteed =
        reserve.by_priority[priority_index(priority)].guaranteed;
    guaranteed = std::max(0.0, guaranteed - 1.0);
}

} // namespace mintknot::policy
