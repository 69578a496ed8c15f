/// @file
/// An IP address and port.
#ifndef MINTKNOT_BASE_ADDRESS_HPP
#define MINTKNOT_BASE_ADDRESS_HPP

#include <absl/status/statusor.h>

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>

namespace mintknot::base {

/// Where a process listens: an IP number and a TCP or UDP port.
struct address {
    std::string host;
    std::uint16_t port = 0;

    auto operator<=>(const address&) const = default;
};

/// Parses "127.0.0.1:8080" or "[::1]:8080".
/// @return InvalidArgument with a sentence if the text is something else.
absl::StatusOr<address> parse_address(std::string_view text);

/// @return the address as "host:port", with brackets around IPv6 numbers.
std::string to_string(const address& value);

} // namespace mintknot::base

#endif
