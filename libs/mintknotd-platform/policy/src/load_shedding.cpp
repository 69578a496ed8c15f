#include <mintknot/policy/load_shedding.hpp>

#include <algorithm>

namespace mintknot::policy {

namespace {

/// Change of the share for each second by which the delay exceeds the
/// target, and by which it has risen since the last update.
constexpr double excess_gain = 2.0;
constexpr double rise_gain = 4.0;
/// The share falls by this at most at each update: callers come as long as they
/// are handed to this instance.
constexpr double max_fall = 0.01;
/// While a delay is not known, as no request goes on, the share falls by this
/// part at each update.
constexpr double unknown_decay = 0.02;
/// A smaller one counts as none.
constexpr double min_share = 0.01;
/// From this share on an instance counts as overloaded.
constexpr double overload_bound = 0.3;

double seconds(base::microseconds time) {
    return std::chrono::duration<double>(time).count();
}

void update(
    delay_control& control, std::optional<base::microseconds> delay,
    base::milliseconds target) {
    if (!delay) {
        control.share *= 1.0 - unknown_decay;
        if (control.share < min_share)
            control = {};
        return;
    }
    const double excess = seconds(*delay - target);
    const double rise = seconds(*delay - control.last_delay);
    const double change =
        std::max(excess_gain * excess + rise_gain * rise, -max_fall);
    control.share = std::clamp(control.share + change, 0.0, 1.0);
    control.last_delay = *delay;
}

} // namespace

void update(shedding_state& state, const instance_delays& delays) {
    update(state.loop, delays.loop, loop_delay_target);
    update(state.connect, delays.connect, connect_delay_target);
}

double own_share(const shedding_state& state) {
    return std::max(state.loop.share, state.connect.share);
}

bool is_overloaded(const shedding_state& state) {
    return own_share(state) >= overload_bound;
}

double shed_share(const shedding_state& state, const peer_load& neighbours) {
    if (neighbours.overloaded >= neighbours.peers)
        return 0.0;
    const auto free =
        static_cast<double>(neighbours.peers - neighbours.overloaded);
    return own_share(state) * free / static_cast<double>(neighbours.peers);
}

bool refuse_next_interval(shedding_state& state, double share) {
    state.owed_intervals += share;
    if (state.owed_intervals < 1.0)
        return false;
    state.owed_intervals -= 1.0;
    return true;
}

} // namespace mintknot::policy
