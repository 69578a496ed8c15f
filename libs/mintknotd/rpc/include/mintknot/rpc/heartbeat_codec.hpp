/// @file
/// Heartbeats as bytes.
#ifndef MINTKNOT_RPC_HEARTBEAT_CODEC_HPP
#define MINTKNOT_RPC_HEARTBEAT_CODEC_HPP

#include <mintknot/cluster/membership.hpp>

#include <optional>
#include <string>
#include <string_view>

namespace mintknot::rpc {

/// @param now ages are written relative to it; clocks are never compared.
std::string encode(const cluster::heartbeat& value, base::steady_time now);

/// @return nothing if the bytes are not a heartbeat.
std::optional<cluster::heartbeat>
decode_heartbeat(std::string_view bytes, base::steady_time now);

} // namespace mintknot::rpc

#endif
