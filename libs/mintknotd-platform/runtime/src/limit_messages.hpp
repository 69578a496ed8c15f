/// @file
/// Datagrams by which instances share the limits of servers.
#ifndef MINTKNOT_RUNTIME_LIMIT_MESSAGES_HPP
#define MINTKNOT_RUNTIME_LIMIT_MESSAGES_HPP

#include <mintknot/base/time.hpp>

#include <absl/status/statusor.h>

#include <optional>
#include <string>
#include <string_view>
#include <variant>

namespace mintknot::runtime {

/// Reports a server's limit to a peer.
struct limit_report {
    std::string server;
    std::optional<double> rate; ///< Requests per second; empty: no limit.
    base::milliseconds age{0};  ///< Of the server's answer.
};

/// Asks a peer for a token to send one request to a limited server.
struct token_request {
    std::string server;
};

/// Lends the token.
struct token_offer {
    std::string server;
};

using limit_message = std::variant<limit_report, token_request, token_offer>;

/// @return the message in MessagePack.
std::string encode(const limit_message& value);

/// @return InvalidArgument if the datagram is none of these messages.
absl::StatusOr<limit_message> decode_limit(std::string_view datagram);

} // namespace mintknot::runtime

#endif
