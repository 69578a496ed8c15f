/// @file
/// The schedule of callers that were refused for lack of capacity and told when
/// to return.
///
/// One schedule for each service and domain (domain.hpp), kept by the scheduler
/// for all its instances; in a group without schedulers each instance keeps one
/// for its own refusals. Inputs: what servers release (from loads, exact at a
/// scheduler), the cost of first tries in the last ten seconds, the claims of
/// the refused requests. Log events: `return_planned` where it is decided,
/// `return_told` where it is told. Guards against return times that callers
/// cannot obey, and against callers that all return at the same time: with one
/// schedule for each of 81 instances, the median was 11 to 16 s for deadlines
/// of 14 s, and all callers returned after 4.7 s.
#ifndef MINTKNOT_POLICY_RETURN_SCHEDULE_HPP
#define MINTKNOT_POLICY_RETURN_SCHEDULE_HPP

#include <mintknot/base/time.hpp>
#include <mintknot/policy/capacity_claim.hpp>
#include <mintknot/policy/first_try_demand.hpp>

#include <array>
#include <cmath>
#include <cstddef>
#include <cstdint>
#include <map>
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
/// Longest time before a return for which capacity is kept.
inline constexpr base::milliseconds keeps_before{1000};

/// Most standing promises for one digest: different callers may send the same
/// request.
inline constexpr std::size_t max_promises_of_digest = 64;

/// The return times that a domain has promised.
struct return_schedule {
    struct promise {
        std::uint64_t digest = 0;
        base::steady_time due;
        base::steady_time kept_from; ///< From then on capacity is kept.
        double cost = 0.0;
    };
    /// A time and the number of a promise.
    using due_time = std::pair<base::steady_time, std::uint64_t>;
    static constexpr std::size_t priorities = 10;

    std::map<std::uint64_t, promise> promises; ///< By number.
    std::unordered_multimap<std::uint64_t, std::uint64_t>
        by_digest;               ///< Numbers of promises.
    std::set<due_time> upcoming; ///< By the time from which it is kept.
    std::set<due_time> kept;     ///< By the time of return.
    /// The next free time after the shortage, by priority. A promise moves
    /// those of its own and of all less urgent priorities.
    std::array<base::steady_time, priorities> next{};
    base::steady_time next_of_all{};         ///< By the whole release.
    base::steady_time next_in_shortage{};    ///< Before the shortage ends.
    base::steady_time shortage_began{};      ///< Its first refusal.
    base::steady_time last_refusal{};        ///< For which a time was asked.
    base::steady_time first_try_denied_at{}; ///< The last one; zero: none.
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
    refused,  ///< There is no time at which the caller could be served.
};

/// When a refused caller may return.
struct return_decision {
    return_kind kind = return_kind::unknown;
    base::milliseconds retry_after{0};
    /// Cost of returns scheduled per millisecond, for the log.
    double pace = 0.0;
    double first_tries = 0.0; ///< Cost of first tries per millisecond.
    /// For which the shortage is expected to last.
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

/// @return the decision that the caller need not return.
return_decision final_refusal(const capacity_claim& claim);

/// Plans the return of a refused caller for after the expected end of the
/// shortage, paced by the release less the demand of first tries, and at least
/// a fifth of the release. A more urgent caller is paced only by what callers
/// of its priority and more urgent ones were promised, up to the whole release.
/// A caller that does not obey a time after the shortage gets one in the last
/// quarter of the time that it obeys, of which there are as many as a fifth of
/// the release serves. A caller that was refused before is told the time of its
/// promise again.
return_decision plan_return(
    return_schedule& schedule, const capacity_claim& claim,
    const return_terms& terms, base::steady_time now);

/// Records that a first try was denied capacity.
void note_first_try_denied(return_schedule& schedule, base::steady_time now);

/// @param capacity free in the domain or released while a return is due.
/// @return the cost of returns for which capacity may be kept: a fifth of the
/// capacity while first tries are being denied, otherwise unlimited.
double most_kept(
    const return_schedule& schedule, double capacity, base::steady_time now);

/// @return the cost of each return for which capacity is kept, in the order of
/// their times, without those of `own_digest` and up to a sum of `most`. A
/// return that needs more than is free on any engine is kept capacity for up to
/// a second before its time, as long as it takes to become free. At most 256 of
/// them, which bounds the time of a placement.
std::vector<double> kept_costs(
    return_schedule& schedule, std::uint64_t own_digest, base::steady_time now,
    double most = HUGE_VAL);

/// @return what an instance without a scheduler keeps free of first tries: the
/// callers that it has promised a time return to other instances as well, and
/// callers of others return here. While it expects a return within a second, it
/// keeps the cost of at least two, up to a sum of `most`.
std::vector<double> kept_without_scheduler(
    return_schedule& schedule, base::steady_time now, double most = HUGE_VAL);

/// @return true if the caller with that digest has returned at its time.
bool returns_on_time(
    return_schedule& schedule, std::uint64_t digest, base::steady_time now);

/// Ends the earliest promise of a digest, as its caller has got capacity.
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
