#include <mintknot/policy/drain.hpp>

#include <algorithm>

namespace mintknot::policy {

namespace {

/// How long new connections may still arrive: the balancer asks once a second
/// and believes the second refusal. Derived, with 0.6 s for the answers.
constexpr base::milliseconds arrivals{2600};
/// Idle connections stay open until the balancer has asked once more: a caller
/// that is about to use one is not to meet a closed one. Derived.
constexpr base::milliseconds before_close_idle{1300};
/// Kept free at the end of the grace, for the last bytes and the process's end.
constexpr base::milliseconds margin{400};
/// What a plain request is given at most.
constexpr base::milliseconds max_plain_time{1500};

} // namespace

drain_step next_drain_step(
    base::milliseconds since, base::milliseconds grace, std::size_t busy) {
    const base::milliseconds last =
        std::max(base::milliseconds{0}, grace - margin);
    if (since >= last)
        return drain_step::leave;
    if (since >= std::min(arrivals, last / 2) && busy == 0)
        return drain_step::leave;
    if (since >= std::min(before_close_idle, last / 4))
        return drain_step::close_idle;
    return drain_step::serve;
}

bool may_begin(
    const traffic::route& route, base::milliseconds since,
    base::milliseconds grace) {
    if (route.kind == traffic::route_kind::streaming)
        return since < std::min(arrivals, grace / 3);
    const base::milliseconds needed = std::min(route.timeout, max_plain_time);
    return since + needed < grace - margin;
}

} // namespace mintknot::policy
