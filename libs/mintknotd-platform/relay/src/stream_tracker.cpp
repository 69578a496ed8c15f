#include <mintknot/relay/stream_tracker.hpp>

#include <mintknot/relay/router_state.hpp>

namespace mintknot::relay {

namespace {

/// Removes a stream's profile from the own load of its server, and adds one
/// that starts at the last refresh.
void recount(router_context& context, tracked_stream& stream) {
    const auto load = context.state.loads.own.find(stream.server);
    if (load == context.state.loads.own.end())
        return;
    load->second.profile -= stream.counted;
    stream.counted = policy::profile_of(
        stream.memory, stream.reserved_tokens,
        context.state.streams.refreshed_at);
    load->second.profile += stream.counted;
}

/// Clears the profiles of all servers with streams. They are computed anew, so
/// that rounding errors and earlier starts do not remain.
void clear_profiles(router_context& context) {
    for (tracked_stream& stream : context.state.streams.streams) {
        stream.counted = {};
        const auto load = context.state.loads.own.find(stream.server);
        if (load != context.state.loads.own.end())
            load->second.profile = {};
    }
}

} // namespace

std::list<tracked_stream>::iterator
track_stream(router_context& context, tracked_stream stream) {
    refresh_streams(context);
    std::list<tracked_stream>& streams = context.state.streams.streams;
    if (streams.empty())
        context.state.streams.refreshed_at = context.loop.now();
    stream.counted = policy::profile_of(
        stream.memory, stream.reserved_tokens,
        context.state.streams.refreshed_at);
    add_load(
        context, stream.server,
        {1, 0.0, stream.reserved_tokens, stream.counted});
    return streams.insert(streams.end(), std::move(stream));
}

void untrack_stream(
    router_context& context, std::list<tracked_stream>::iterator stream) {
    const tracked_stream ended = std::move(*stream);
    context.state.streams.streams.erase(stream);
    remove_load(
        context, ended.server, {1, 0.0, ended.reserved_tokens, ended.counted});
}

void refresh_streams(router_context& context) {
    stream_tracker& tracker = context.state.streams;
    const base::steady_time now = context.loop.now();
    if (tracker.streams.empty() ||
        now - tracker.refreshed_at < min_refresh_interval)
        return;
    tracker.refreshed_at = now;
    clear_profiles(context);
    for (tracked_stream& stream : tracker.streams)
        recount(context, stream);
}

} // namespace mintknot::relay
