/// @file
/// The schedule of callers that were refused for lack of capacity and told when
/// to return.
///
/// One schedule for each service and domain (domain.hpp), kept by the scheduler
/// for all its instances; in a group without schedulers each instance keeps one
/// for its own refusals. Inputs: what servers release (from loads, exact at a
/// scheduler), the cost of first tries in the last ten seconds, the claims of
/// the refused requests. Log events: `return_planned` where it is decided,
/// `given_up` where it is told. Guards against return times that callers cannot
/// obey, and against callers that all return at the same time: with one
/// schedule for each of 81 instances, the median was 11 to 16 s for deadlines
/// of 14 s, and all callers returned after 4.7 s.
#ifndef MINTKNOT_POLICY_RETURN_SCHEDULE_HPP
#define MINTKNOT_POLICY_RETURN_SCHEDULE_HPP

#include <mintknot/base/time.hpp>
#include <mintknot/policy/capacity_claim.hpp>
#include <mintknot/policy/first_try_demand.hpp>

#include <array>
#include <cstddef>
#include <cstdint>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

namespace mintknot::policy {

/// Most promises of one schedule; bounds its memory to about half a megabyte.
inline constexpr std::size_t max_return_promises = 4096;
/// A promise is due from this long before its time, as callers' clocks and
/// links differ,
inline constexpr base::milliseconds return_tolerance{50};
/// until this long after it; then it lapses.
inline constexpr base::milliseconds return_grace{300};

/// The return times that a domain has promised.
struct return_schedule {
    struct promise {
        base::steady_time due;
        base::steady_time kept_from; ///< From then on capacity is kept.
        double cost = 0.0;
    };
    /// A time and the digest of a promise.
    using due_time = std::pair<base::steady_time, std::uint64_t>;
    static constexpr std::size_t priorities = 10;

    std::unordered_map<std::uint64_t, promise> promises; ///< By digest.
    std::set<due_time> upcoming; ///< By the time from which it is kept.
    std::set<due_time> kept;     ///< By the time of return.
    /// The next free time by priority. A promise moves those of its own and of
    /// all less urgent priorities.
    std::array<base::steady_time, priorities> next{};
    base::steady_time next_of_all{};    ///< By the whole release.
    base::steady_time shortage_began{}; ///< Its first refusal.
    base::steady_time last_refusal{};
    first_try_demand first_tries;
    std::uint64_t promised = 0; ///< Promises since the start of the process,
    std::uint64_t served = 0;   ///< those that ended with a placement,
    std::uint64_t lapsed = 0;   ///< and those whose caller did not come.
};

/// What a return time depends on, apart from the schedule and the claim.
struct return_terms {
    double cost = 0.0;         ///< Of the request.
    double release_rate = 0.0; ///< Cost that servers release per millisecond.
    /// Schedules that share these servers; more than one only in a group
    /// without schedulers.
    std::size_t schedules = 1;
    base::milliseconds service_time{0}; ///< For which a request holds capacity.
    base::milliseconds earliest{0};     ///< No capacity is expected before.
};

enum class return_kind {
    unknown,  ///< Nothing is known of the release or the caller's time.
    promised, ///< Capacity is kept at that time.
    final,    ///< There is no time at which the caller could be served.
};

/// When a refused caller may return.
struct return_decision {
    return_kind kind = return_kind::unknown;
    base::milliseconds retry_after{0};
    /// Cost of returns scheduled per millisecond, for the log.
    double pace = 0.0;
    double first_tries = 0.0; ///< Cost of first tries per millisecond.
    /// For which the shortage is expected to last; the pace is lower until
    /// then.
    base::milliseconds shortage_left{0};
};

/// @return the longest Retry-After that a caller obeys: a third of its time
/// left.
base::milliseconds longest_obeyed(base::milliseconds deadline_left);

/// @return the Retry-After within the bounds that hold while capacity is
/// shared: from 250 ms to a third of the caller's time left, and that third
/// where it is shorter. Without them, rests of servers led to 0.003 s and
/// 129 s.
base::milliseconds bounded_retry_after(
    base::milliseconds retry_after, base::milliseconds deadline_left);

/// Plans the return of a refused caller. Promises are paced by the release less
/// the demand of first tries, and get at least a fifth of the release; until
/// the shortage is expected to end, they get that fifth only. A more urgent
/// caller is paced only by what callers of its priority and more urgent ones
/// were promised, up to the whole release. A caller that has a promise that is
/// not due yet is told the same time again.
return_decision plan_return(
    return_schedule& schedule, const capacity_claim& claim,
    const return_terms& terms, base::steady_time now);

/// @return the cost of each return for which capacity is kept, in the order of
/// their times and without the one of the request with that digest. A return
/// that needs more than is free on any engine is kept capacity for up to a
/// second before its time, as long as it takes to become free. At most 256 of
/// them, which bounds the time of a placement.
std::vector<double> kept_costs(
    return_schedule& schedule, std::uint64_t digest, base::steady_time now);

/// @return what an instance without a scheduler keeps free of first tries: the
/// callers that it has promised a time return to other instances as well, and
/// callers of others return here. While it expects a return within a second, it
/// keeps the cost of at least two.
std::vector<double>
costs_nearby(return_schedule& schedule, base::steady_time now);

/// @return true if the caller with that digest has returned at its time.
bool returns_on_time(
    return_schedule& schedule, std::uint64_t digest, base::steady_time now);

/// Ends the promise to a caller that has got capacity.
void end_promise(return_schedule& schedule, std::uint64_t digest);

/// Memory of an engine that new requests may use.
struct engine_room {
    std::string id;
    double free = 0.0;
};

/// Assigns each kept return the engine with the most memory left. Summing up
/// free memory would not do: in pieces that are too small it is of no use.
/// @return the engines that a request of that cost may not use.
std::set<std::string> engines_kept(
    const std::vector<engine_room>& engines, double cost,
    const std::vector<double>& kept);

} // namespace mintknot::policy

#endif
