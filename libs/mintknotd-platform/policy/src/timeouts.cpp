#include <mintknot/policy/timeouts.hpp>

#include <algorithm>

namespace mintknot::policy {

namespace {

/// A prefill is given so many times what is expected, and this long at least:
/// expectations below a tenth of a second are mostly scheduling.
constexpr int prefill_patience = 3;
constexpr base::milliseconds min_prefill_timeout{250};

/// Silence of a stream before its first event and between events. Some hundred
/// steps of a decode engine. An engine that is asked to read the prompt itself
/// takes longest, hence the first is larger.
constexpr base::milliseconds first_event_timeout{1000};
constexpr base::milliseconds next_event_timeout{700};

/// A plain server is given so many target latencies, and this long at least.
constexpr int plain_patience = 3;
constexpr base::milliseconds min_plain_timeout{300};

/// Left of a result's life when it is handed over, for the way to the decode
/// engine and on to the one that keeps it. Some round trips.
constexpr base::milliseconds hand_over_margin{60};

} // namespace

base::milliseconds prefill_timeout(base::milliseconds expected) {
    return std::max(min_prefill_timeout, expected * prefill_patience);
}

base::milliseconds event_timeout(bool any_event) {
    return any_event ? next_event_timeout : first_event_timeout;
}

base::milliseconds plain_timeout(const traffic::route& route) {
    return std::max(
        min_plain_timeout,
        std::min(route.target_latency * plain_patience, route.timeout / 2));
}

base::milliseconds usable_life(base::milliseconds life) {
    return life - hand_over_margin;
}

} // namespace mintknot::policy
