#include <mintknot/relay/admission.hpp>

#include <algorithm>

namespace mintknot::relay {

namespace {

constexpr base::milliseconds deadline_life{30000};
/// Share of the target latency for which a fresh request waits.
constexpr double fresh_wait_share = 0.2;
/// Below this share of a fresh deadline a request has been here before.
constexpr double fresh_share = 0.95;
/// Share of the target latency for which a request that came back waits: as
/// long as it can still be met.
constexpr double returned_share = 0.6;
/// Parts of the deadline after which callers come back. They honour at most a
/// third of it.
constexpr double least_pause = 0.15;
constexpr double pause_spread = 0.15;
constexpr base::milliseconds default_deadline{10000};

} // namespace

void note_deadline(
    longest_deadline& longest, base::milliseconds deadline,
    base::steady_time now) {
    if (deadline < longest.value && now - longest.seen < deadline_life)
        return;
    longest.value = deadline;
    longest.seen = now;
}

room_terms room_terms_for(
    const longest_deadline& longest, base::milliseconds target_latency,
    std::optional<base::milliseconds> deadline, bool begun, double draw) {
    const double left =
        static_cast<double>(deadline.value_or(default_deadline).count());
    const bool returned =
        left < fresh_share * static_cast<double>(longest.value.count());
    room_terms terms;
    terms.wait = base::milliseconds(static_cast<std::int64_t>(
        static_cast<double>(target_latency.count()) *
        (returned || begun ? returned_share : fresh_wait_share)));
    terms.come_back = base::milliseconds(
        static_cast<std::int64_t>(left * (least_pause + pause_spread * draw)));
    return terms;
}

} // namespace mintknot::relay
