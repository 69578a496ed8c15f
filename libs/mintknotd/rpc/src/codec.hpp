/// @file
/// Conversions between wire messages and plain structs.
#ifndef MINTKNOT_RPC_CODEC_HPP
#define MINTKNOT_RPC_CODEC_HPP

#include "peer.pb.h"

#include <mintknot/rpc/peer_messages.hpp>

namespace mintknot::rpc {

void fill(wire::refusal& target, const base::refusal& source);
base::refusal refusal_from(const wire::refusal& source);

void fill(wire::place_query& target, const routing::place_query& source);
routing::place_query query_from(const wire::place_query& source);

void fill(wire::place_answer& target, const placed_request& source);
placed_request answer_from(const wire::place_answer& source);

} // namespace mintknot::rpc

#endif
