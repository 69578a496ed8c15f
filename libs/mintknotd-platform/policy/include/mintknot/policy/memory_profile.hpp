/// @file
/// Decode memory over the life of streams: does a stream fit on an engine until
/// its end?
///
/// A stream holds its prompt from the hand-over on and tokens_per_event more
/// with each event, and frees everything at its end. Used for services with
/// large events while capacity is shared (capacity_sharing.hpp); for all others
/// a request reserves a single number (engine_needs.hpp). Inputs: the profiles
/// of the streams on an engine (loads; those of peers up to 0.5 s old, which
/// the profile covers as its points belong to fixed times) and that of the new
/// stream. Guards against refusals of streams that fit because others end
/// before they grow, and against engines that run out of memory and preempt
/// streams. Log events: `decode`, `no_room`, `stream_ended`.
#ifndef MINTKNOT_POLICY_MEMORY_PROFILE_HPP
#define MINTKNOT_POLICY_MEMORY_PROFILE_HPP

#include <mintknot/policy/output_lengths.hpp>
#include <mintknot/traffic/load_view.hpp>

#include <optional>

namespace mintknot::policy {

/// What is known of a stream's memory.
struct stream_memory {
    double prompt = 0.0;           ///< In tokens.
    double tokens_per_event = 1.0; ///< Output tokens that one event holds.
    double expected = 1.0;         ///< Corrected estimate of the output.
    double max_output = 0.0;       ///< Stated by the caller; 0: unknown.
    output_tail tail{};            ///< Distribution of output over `expected`.
    double events = 0.0;           ///< So far.
    base::milliseconds event_time{1};
    /// When `events` was counted or, before the first event, when the engine is
    /// expected to take over the stream.
    base::steady_time counted_at;
};

/// @param covered tokens that the stream counts in server_load::memory_tokens.
/// @return the memory that the stream is expected to hold from `start` on.
traffic::memory_profile profile_of(
    const stream_memory& stream, double covered, base::steady_time start);

/// Share of a decode engine's memory that streams with a profile may fill. The
/// rest allows for blocks that are partly filled, 8 tokens a stream, and for
/// loads that have not been reported yet.
inline constexpr double profiled_memory_share = 0.985;

/// The highest forecast of the memory held on an engine.
struct memory_peak {
    double tokens = 0.0;
    base::milliseconds in{0}; ///< Time until the peak.
    double held_now = 0.0;    ///< Expected now, without the new stream.
};

/// @return the peak of the memory held by what is in flight and a new stream,
/// with the margin that keeps preemptions below 1 in 200 streams.
memory_peak forecast_peak(
    const traffic::server_load& load, const traffic::memory_profile& added,
    base::steady_time now);

/// Longest time for which it is forecast when a stream will fit. Beyond its
/// points a profile is halved with each step.
inline constexpr base::milliseconds max_fit_time{8000};

/// @return the time until a stream with that profile fits into `usable` tokens
/// by forecast_peak(), asked again with the same load at that time; nothing if
/// it does not after `limit`.
std::optional<base::milliseconds> time_until_fit(
    const traffic::server_load& load, const traffic::memory_profile& added,
    double usable, base::steady_time now, base::milliseconds limit);

/// @return the memory that is expected to be held on an engine now.
double expected_memory(const traffic::server_load& load, base::steady_time now);

} // namespace mintknot::policy

#endif
