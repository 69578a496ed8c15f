/// @file
/// How much engine time requests take in each phase, and how long their steps
/// last on average.
///
/// Fed by the exchanges of this instance, at the end of each step. Used by the
/// forecast of room, the limit of a prefill and the plan of phases; for the
/// last, instances of a large group add up what they have seen
/// (orders/demand_sharing.hpp).
#ifndef MINTKNOT_POLICY_PHASE_DEMAND_HPP
#define MINTKNOT_POLICY_PHASE_DEMAND_HPP

#include <mintknot/base/time.hpp>

namespace mintknot::policy {

/// Sums over the requests of one service, weighed down with each new one.
struct phase_demand {
    double requests = 0.0;
    /// The same, not weighed down; not shared with others.
    double seen_here = 0.0;
    double decode_seconds = 0.0; ///< Share of an engine's memory times time.
    double hold_time = 0.0;      ///< For which they held that memory, in ms.
    double starts = 0.0;         ///< Requests whose first event has come.
    double start_time = 0.0;     ///< From their placement to that event, in ms.
    double hand_overs = 0.0; ///< Results that a decode engine has taken over.
    double hand_over_time = 0.0; ///< Until its first event, in ms.
    // Sums for a line through prompt length and time to read it, from reads
    // that waited for nothing. Its slope is what a token costs the engine;
    // what every read takes besides does not keep the engine busy.
    double reads = 0.0;
    double tokens = 0.0;
    double time = 0.0;
    double tokens_squared = 0.0;
    double tokens_times_time = 0.0;
};

/// Adds what another instance has seen.
void add(phase_demand& sum, const phase_demand& other);

/// Takes a read of a prompt that waited for no other.
void note_read_alone(
    phase_demand& demand, double tokens, base::milliseconds took);

/// Takes a finished decode. @param memory_share of the engine.
void note_decode(
    phase_demand& demand, double memory_share, base::milliseconds took);

/// Takes the time from a request's placement to its first event.
void note_start(phase_demand& demand, base::milliseconds took);

/// Takes the time from the end of a prefill to the first event.
void note_hand_over(phase_demand& demand, base::milliseconds took);

/// @return how long a request holds decode memory on average; a common figure
/// until some requests have finished.
base::milliseconds mean_hold(const phase_demand& demand);

/// @return the mean time from a placement to the first event; a common figure
/// until some were seen.
base::milliseconds mean_start(const phase_demand& demand);

/// @return the mean time from the end of a prefill to the first event; a common
/// figure until some were seen.
base::milliseconds mean_hand_over(const phase_demand& demand);

/// @return the engine time for reading a prompt of mean length, in seconds,
/// or 0 if too little was seen.
double prefill_seconds(const phase_demand& demand);

} // namespace mintknot::policy

#endif
