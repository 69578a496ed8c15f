/// @file
/// How much engine time requests take in each phase, and how long each step
/// lasts on average.
///
/// Updated by the exchanges of this instance at the end of each step. Used to
/// forecast free decode memory, to limit the time of a prefill and to plan
/// phases; for the last, instances of a large group sum up their observations
/// (orders/demand_sharing.hpp).
#ifndef MINTKNOT_POLICY_PHASE_DEMAND_HPP
#define MINTKNOT_POLICY_PHASE_DEMAND_HPP

#include <mintknot/base/time.hpp>

namespace mintknot::policy {

/// Exponentially decayed sums over the requests of one service.
struct phase_demand {
    double requests = 0.0; ///< Finished decodes.
    /// Finished decodes at this instance, without decay and not shared with
    /// peers.
    double local_requests = 0.0;
    /// Sum of the share of an engine's memory times the time for which it was
    /// held.
    double decode_seconds = 0.0;
    double total_hold_ms = 0.0; ///< For which requests held decode memory.
    double first_events = 0.0;  ///< Requests that have had their first event.
    double total_first_event_ms = 0.0; ///< From placement to the first event.
    /// Prefill results that a decode engine has taken over.
    double hand_overs = 0.0;
    /// From the end of the prefill to the first event.
    double total_hand_over_ms = 0.0;
    // Sums for a linear regression of prefill time over prompt length, from
    // prefills that did not queue. The slope is the engine time per token; the
    // constant part of each prefill does not keep the engine busy.
    double prefills = 0.0;
    double prefill_tokens = 0.0;
    double total_prefill_ms = 0.0;
    double tokens_squared = 0.0;
    double tokens_times_time = 0.0;
};

/// Adds the sums of another instance.
void add(phase_demand& sum, const phase_demand& other);

/// Records a prefill that did not queue behind another one.
void note_uncontended_prefill(
    phase_demand& demand, double tokens, base::milliseconds took);

/// Records a finished decode.
/// @param memory_share of the engine that the request held.
void note_decode(
    phase_demand& demand, double memory_share, base::milliseconds took);

/// Records the time from a request's placement to its first event.
void note_first_event(phase_demand& demand, base::milliseconds took);

/// Records the time from the end of a prefill to the first event.
void note_hand_over(phase_demand& demand, base::milliseconds took);

/// @return how long a request holds decode memory on average; a default until a
/// few requests have finished.
base::milliseconds mean_hold_time(const phase_demand& demand);

/// @return the mean time from placement to the first event; a default until a
/// few were observed.
base::milliseconds mean_first_event_time(const phase_demand& demand);

/// @return the mean time from the end of a prefill to the first event; a
/// default until a few were observed.
base::milliseconds mean_hand_over_time(const phase_demand& demand);

/// @return the engine time of the prefill of a prompt of mean length, in
/// seconds, or 0 if too few prefills were observed.
double mean_prefill_seconds(const phase_demand& demand);

} // namespace mintknot::policy

#endif
