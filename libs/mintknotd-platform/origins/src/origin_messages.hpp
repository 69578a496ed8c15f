/// @file
/// Datagrams by which instances tell which version began a stream.
#ifndef MINTKNOT_ORIGINS_ORIGIN_MESSAGES_HPP
#define MINTKNOT_ORIGINS_ORIGIN_MESSAGES_HPP

#include <mintknot/base/time.hpp>

#include <absl/status/statusor.h>

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>

namespace mintknot::origins {

/// Tells of the beginning of a stream.
struct origin_notice {
    std::string stream; ///< See policy::stream_key().
    std::string version;
    base::milliseconds life{0}; ///< For how long it is to be remembered.
};

/// Asks which version began a stream.
struct origin_query {
    std::uint64_t number = 0; ///< The reply repeats it.
    std::string stream;       ///< Empty: only the service's version is asked.
    std::string service;
};

/// Answers an origin_query.
struct origin_reply {
    std::uint64_t number = 0;
    std::optional<std::string> version; ///< Nothing: not known here.
    base::milliseconds age{0};          ///< Since the stream began.
    /// The only version that the service has had lately; nothing: unknown.
    std::optional<std::string> only_version;
};

using origin_message = std::variant<origin_notice, origin_query, origin_reply>;

/// Longest text in a message, in bytes; longer versions are not told.
inline constexpr std::size_t max_text_bytes = 64;

/// @return the message in MessagePack. Instances that do not know the message
/// type ignore it as a malformed datagram.
std::string encode(const origin_message& value);

/// @return InvalidArgument if the datagram is not one of these messages.
absl::StatusOr<origin_message> decode_origin_message(std::string_view datagram);

} // namespace mintknot::origins

#endif
