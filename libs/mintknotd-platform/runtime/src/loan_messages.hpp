/// @file
/// The datagrams by which instances lend each other repeats.
#ifndef MINTKNOT_RUNTIME_LOAN_MESSAGES_HPP
#define MINTKNOT_RUNTIME_LOAN_MESSAGES_HPP

#include <absl/status/statusor.h>

#include <cstdint>
#include <string>
#include <string_view>
#include <variant>

namespace mintknot::runtime {

/// Asks a peer for repeats of a service.
struct loan_request {
    std::uint64_t number = 0; ///< The offer repeats it.
    std::string service;
    int repeats = 0; ///< At most.
};

/// Lends them.
struct loan_offer {
    std::uint64_t number = 0;
    int repeats = 0;
};

using loan_message = std::variant<loan_request, loan_offer>;

/// @return the message in MessagePack. Instances that do not know it take it
/// for a malformed datagram and ignore it.
std::string encode(const loan_message& value);

/// @return InvalidArgument if the datagram is neither.
absl::StatusOr<loan_message> decode_loan(std::string_view datagram);

} // namespace mintknot::runtime

#endif
