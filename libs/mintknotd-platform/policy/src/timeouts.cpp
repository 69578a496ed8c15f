#include <mintknot/policy/timeouts.hpp>

#include <algorithm>

namespace mintknot::policy {

namespace {

/// Multiple of the expected prefill time, and the least timeout: expected times
/// below a tenth of a second are mostly scheduling delays.
constexpr int prefill_timeout_factor = 3;
constexpr base::milliseconds min_prefill_timeout{250};

/// Timeouts of a stream before its first event and between events: some hundred
/// steps of a decode engine. The first is longer because an engine that reads
/// the prompt itself takes longest.
constexpr base::milliseconds first_event_timeout{1000};
constexpr base::milliseconds next_event_timeout{700};

/// Multiple of the target latency, and the least timeout of a plain server.
constexpr int plain_timeout_factor = 3;
constexpr base::milliseconds min_plain_timeout{300};

/// Remaining lifetime that a prefill result must have when it is handed over,
/// for the request to reach the decode engine and then the engine that keeps
/// the result: a few round trips.
constexpr base::milliseconds hand_over_margin{60};

} // namespace

base::milliseconds prefill_timeout(base::milliseconds expected) {
    return std::max(min_prefill_timeout, expected * prefill_timeout_factor);
}

base::milliseconds event_timeout(bool any_event) {
    return any_event ? next_event_timeout : first_event_timeout;
}

base::milliseconds plain_timeout(const traffic::route& route) {
    return std::max(
        min_plain_timeout,
        std::min(
            route.target_latency * plain_timeout_factor, route.timeout / 2));
}

base::milliseconds hand_over_window(base::milliseconds lifetime) {
    return lifetime - hand_over_margin;
}

} // namespace mintknot::policy
