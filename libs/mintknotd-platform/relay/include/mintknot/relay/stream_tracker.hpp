/// @file
/// Follows the memory of the streams of this instance, so that its loads tell
/// what they hold now and later.
///
/// Only for services with large events while capacity is shared
/// (policy/capacity_sharing.hpp, policy/memory_profile.hpp).
#ifndef MINTKNOT_RELAY_STREAM_TRACKER_HPP
#define MINTKNOT_RELAY_STREAM_TRACKER_HPP

#include <mintknot/policy/memory_profile.hpp>

#include <list>
#include <string>

namespace mintknot::relay {

struct router_context;

/// A stream with memory reserved on a decode engine.
struct tracked_stream {
    std::string server;
    policy::stream_memory memory;
    double reserved_tokens = 0.0; ///< As in server_load::memory_tokens.
    /// The stream's part of the profile in this instance's own loads.
    traffic::memory_profile counted{};
};

/// The streams of an instance, in a list so that references stay valid.
struct stream_tracker {
    std::list<tracked_stream> streams;
    base::steady_time refreshed_at; ///< Start of the profiles of own loads.
};

/// Shortest time between two refreshes of all streams: as often as loads are
/// reported to schedulers.
inline constexpr base::milliseconds min_refresh_interval{50};

/// Adds a stream to the loads of this instance. @return its entry.
std::list<tracked_stream>::iterator
track_stream(router_context& context, tracked_stream stream);

/// Takes a stream back from the loads of this instance.
void untrack_stream(
    router_context& context, std::list<tracked_stream>::iterator stream);

/// Brings the profiles of own loads up to date with the events of the streams.
/// To be called before loads are read or reported; events themselves only
/// change a counter. Does nothing within min_refresh_interval.
void refresh_streams(router_context& context);

} // namespace mintknot::relay

#endif
