/// @file
/// Service times of plain servers: for how long a call occupies a slot.
///
/// Observed by instances at the end of their calls and carried to schedulers by
/// load reports, at most about 60 ms later. The time that a call has waited in
/// the server's queue is taken out with the number of calls that were ahead of
/// it. Input of plain_admission.hpp; `service_ms` and `service_age_ms` in
/// `sent` and `no_room` log lines.
#ifndef MINTKNOT_POLICY_SERVICE_TIMES_HPP
#define MINTKNOT_POLICY_SERVICE_TIMES_HPP

#include <mintknot/base/time.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace mintknot::policy {

/// Calls of one server that ended, and the time that they took in its slots.
struct observed_calls {
    int calls = 0;
    double slot_ms = 0.0;
    double delay_ms = 0.0; ///< From their ends to the report of them.
};

/// By server ID.
using observed_call_map = std::unordered_map<std::string, observed_calls>;

/// Own calls that ended since the last report.
struct unreported_calls {
    observed_calls seen; ///< Without delay.
    /// Sum of the ends of the calls, in milliseconds of the steady clock.
    double ends_ms = 0.0;
};

/// What calls to one server have shown.
struct service_record {
    double mean_ms = 0.0;
    /// Mean time from the end of a call to the report that tells of it.
    double delay_ms = 0.0;
    double calls = 0.0; ///< Weight of the mean, bounded.
    base::steady_time learned_at{};
    /// Calls that the server has rejected, since the record began.
    std::uint64_t rejections = 0;
};

/// What is known of the plain servers, by server ID.
struct service_times {
    std::unordered_map<std::string, service_record> by_id;
    /// Own calls that are not yet reported to schedulers.
    std::unordered_map<std::string, unreported_calls> unreported;
};

/// Expected time of a call in a slot.
struct expected_service {
    double ms = 0.0;
    double delay_ms = 0.0;     ///< Until loads no longer count a call.
    bool learned = false;      ///< From calls to this server.
    base::milliseconds age{0}; ///< Of the latest of these calls.
};

/// Service time that is assumed while none of a service's servers is known.
inline constexpr double default_service_ms = 50.0;

/// @return the calls that must end before a call gets a slot, if so many are in
/// flight when it is sent.
int calls_ahead(int in_flight, int slots) noexcept;

/// @return the calls that are still in flight of those that loads count: less
/// those that have ended since and are not reported. At a server with 6 slots
/// and 15 ms a call, reports that are 30 ms late count 12 of them.
int estimate_in_flight(
    int counted, int slots, const expected_service& service) noexcept;

/// Records a call of this instance that was answered.
/// @param ahead calls_ahead() when the call was placed.
void note_call_time(
    service_times& times, const std::string& id, base::milliseconds took,
    int ahead, int slots, base::steady_time now);

/// Records calls that a peer has reported.
void note_reported_times(
    service_times& times, const observed_call_map& observed,
    base::steady_time now);

/// Records that a server has rejected calls as full.
void note_rejections(service_times& times, const std::string& id, int count);

/// @return the own observations since the last call of this function.
observed_call_map take_unreported(service_times& times, base::steady_time now);

/// Removes a server that has gone or was replaced.
void forget(service_times& times, const std::string& id);

/// @return the learned service time of a server; if it has answered few calls,
/// or none recently, `fallback`.
expected_service service_time_of(
    const service_times* times, const std::string& id, double fallback,
    base::steady_time now);

/// @return the median of the learned times of these servers; nullopt if none is
/// known.
std::optional<double> median_service_ms(
    const service_times* times, const std::vector<std::string>& ids,
    base::steady_time now);

} // namespace mintknot::policy

#endif
