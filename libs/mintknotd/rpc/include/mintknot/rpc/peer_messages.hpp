/// @file
/// What instances ask of each other, as plain structs.
#ifndef MINTKNOT_RPC_PEER_MESSAGES_HPP
#define MINTKNOT_RPC_PEER_MESSAGES_HPP

#include <mintknot/base/refusal.hpp>
#include <mintknot/config/change_feed.hpp>
#include <mintknot/routing/scheduler.hpp>

#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace mintknot::rpc {

/// The end of a placement, as the entry needs it.
struct placed_request {
    std::string attempt;
    std::string prefill_name;
    base::address prefill_at;
    std::string decode_name;
    base::address decode_at;
    std::uint64_t cached_tokens = 0;
    std::optional<base::refusal> refused; ///< Set: nothing was placed.
    std::string record; ///< The decision record as JSON; may be empty.
};

/// Called once, from any thread.
using placed_callback = std::function<void(placed_request)>;

/// Progress of requests that one scheduler placed.
struct progress_batch {
    std::string service;
    std::vector<routing::progress> lines;
};

/// A caller that comes back for its answer.
struct attach_request {
    std::string request;
    std::string organisation;
    std::uint64_t offset = 0; ///< The first token that is still wanted.
};

/// A piece of a resumed answer. One of text, finish and failed is set.
struct attach_event {
    std::uint64_t offset = 0;
    std::string text;
    std::string finish; ///< "stop" or "length".
    std::optional<base::refusal> failed;
};

/// @return false to leave the stream.
using attach_sink = std::function<bool(const attach_event&)>;

/// A decode stream that an engine still holds for a request.
struct found_stream {
    std::string attempt;
    std::string engine;
    base::address where;
    std::string organisation;
};

/// Configuration from a peer.
struct config_page {
    bool ready = false;
    std::uint64_t revision = 0;
    std::vector<config::change> changes; ///< After the asked revision.
    bool whole = false;                  ///< Resources are set instead.
    std::vector<config::resource> resources;
};

} // namespace mintknot::rpc

#endif
