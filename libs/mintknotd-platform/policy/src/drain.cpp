#include <mintknot/policy/drain.hpp>

#include <algorithm>

namespace mintknot::policy {

namespace {

/// How long new connections may still arrive: the load balancer checks
/// readiness once a second and reacts to the second failure; 0.6 s allow for
/// its checks to be answered.
constexpr base::milliseconds arrival_window{2600};
/// Idle connections stay open until the load balancer has checked readiness
/// once more, so that a caller does not use a connection that is being closed.
constexpr base::milliseconds close_idle_delay{1300};
/// Reserved at the end of the grace period for sending the last bytes and
/// exiting.
constexpr base::milliseconds exit_margin{400};

} // namespace

drain_step next_drain_step(
    base::milliseconds since, base::milliseconds grace, std::size_t busy) {
    const base::milliseconds last =
        std::max(base::milliseconds{0}, grace - exit_margin);
    if (since >= last)
        return drain_step::terminate;
    if (since >= std::min(arrival_window, last / 2) && busy == 0)
        return drain_step::terminate;
    if (since >= std::min(close_idle_delay, last / 4))
        return drain_step::close_idle;
    return drain_step::serve;
}

bool may_start_while_draining(
    base::milliseconds time_left, base::milliseconds since,
    base::milliseconds grace) {
    return since + time_left < grace - exit_margin ||
           since < std::min(arrival_window, grace / 3);
}

} // namespace mintknot::policy
