#include <mintknot/policy/service_times.hpp>

#include <algorithm>
#include <cmath>
#include <utility>

namespace mintknot::policy {

namespace {

/// Calls over which the mean is taken: with service times that are distributed
/// exponentially its error is about a tenth, and a server that slows down is
/// known within a second at 100 calls a second.
constexpr double mean_calls = 64.0;
/// Calls from which a mean is used.
constexpr double min_calls = 8.0;
/// A mean without newer calls is no longer used: the server may have changed.
constexpr base::milliseconds lifetime{60000};
/// Avoids divisions by zero.
constexpr double min_service_ms = 0.5;
/// Upper bound on the unreported calls of one server. Small groups send no
/// reports, and the calls are never taken.
constexpr int max_unreported = 1000;
/// Observations that ended on average so long ago are not reported: they are
/// from before the group had schedulers.
constexpr double max_delay_ms = 2000.0;

void add(
    service_record& record, const observed_calls& seen, base::steady_time now) {
    if (now - record.learned_at > lifetime)
        record.calls = 0.0;
    record.calls = std::min(mean_calls, record.calls + seen.calls);
    const double mean = seen.slot_ms / seen.calls;
    const double weight = std::min(1.0, seen.calls / record.calls);
    record.mean_ms += weight * (mean - record.mean_ms);
    const double delay = std::min(max_delay_ms, seen.delay_ms / seen.calls);
    record.delay_ms += weight * (delay - record.delay_ms);
    record.learned_at = now;
}

double ms_of(base::steady_time time) {
    return std::chrono::duration<double, std::milli>(time.time_since_epoch())
        .count();
}

bool is_known(const service_record& record, base::steady_time now) {
    return record.calls >= min_calls && now - record.learned_at <= lifetime;
}

} // namespace

int calls_ahead(int in_flight, int slots) noexcept {
    return std::max(0, in_flight + 1 - std::max(slots, 1));
}

int estimate_in_flight(
    int counted, int slots, const expected_service& service) noexcept {
    // Busy slots complete a call per service time, so that many of the counted
    // calls have ended within the delay.
    const double ended_per_slot = service.delay_ms / service.ms;
    const double busy = std::max(slots, 1);
    const double in_flight = counted >= busy * (1.0 + ended_per_slot)
                                 ? counted - busy * ended_per_slot
                                 : counted / (1.0 + ended_per_slot);
    return static_cast<int>(std::lround(in_flight));
}

void note_call_time(
    service_times& times, const std::string& id, base::milliseconds took,
    int ahead, int slots, base::steady_time now) {
    const double queued = static_cast<double>(ahead) / std::max(slots, 1);
    const double slot_ms = static_cast<double>(took.count()) / (1.0 + queued);
    add(times.by_id[id], {1, slot_ms, 0.0}, now);
    unreported_calls& unreported = times.unreported[id];
    if (unreported.seen.calls >= max_unreported)
        return;
    ++unreported.seen.calls;
    unreported.seen.slot_ms += slot_ms;
    unreported.ends_ms += ms_of(now);
}

void note_reported_times(
    service_times& times, const observed_call_map& observed,
    base::steady_time now) {
    for (const auto& [id, seen] : observed)
        if (seen.calls > 0)
            add(times.by_id[id], seen, now);
}

void note_rejections(service_times& times, const std::string& id, int count) {
    if (count > 0)
        times.by_id[id].rejections += static_cast<std::uint64_t>(count);
}

observed_call_map take_unreported(service_times& times, base::steady_time now) {
    observed_call_map calls;
    for (const auto& [id, ended] : std::exchange(times.unreported, {})) {
        observed_calls seen = ended.seen;
        seen.delay_ms = std::max(0.0, seen.calls * ms_of(now) - ended.ends_ms);
        if (seen.delay_ms <= seen.calls * max_delay_ms)
            calls[id] = seen;
    }
    return calls;
}

void forget(service_times& times, const std::string& id) {
    times.by_id.erase(id);
    times.unreported.erase(id);
}

expected_service service_time_of(
    const service_times* times, const std::string& id, double fallback,
    base::steady_time now) {
    if (times != nullptr) {
        const auto found = times->by_id.find(id);
        if (found != times->by_id.end() && is_known(found->second, now))
            return {
                std::max(min_service_ms, found->second.mean_ms),
                found->second.delay_ms, true,
                std::chrono::duration_cast<base::milliseconds>(
                    now - found->second.learned_at)};
    }
    return {std::max(min_service_ms, fallback), 0.0, false, {}};
}

std::optional<double> median_service_ms(
    const service_times* times, const std::vector<std::string>& ids,
    base::steady_time now) {
    std::vector<double> known;
    for (const std::string& id : ids) {
        const expected_service found = service_time_of(times, id, 0.0, now);
        if (found.learned)
            known.push_back(found.ms);
    }
    if (known.empty())
        return std::nullopt;
    const auto middle =
        known.begin() + static_cast<std::ptrdiff_t>(known.size() / 2);
    std::nth_element(known.begin(), middle, known.end());
    return *middle;
}

} // namespace mintknot::policy
