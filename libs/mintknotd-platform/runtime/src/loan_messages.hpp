/// @file
/// Datagrams by which instances lend each other retries.
#ifndef MINTKNOT_RUNTIME_LOAN_MESSAGES_HPP
#define MINTKNOT_RUNTIME_LOAN_MESSAGES_HPP

#include <absl/status/statusor.h>

#include <cstdint>
#include <string>
#include <string_view>
#include <variant>

namespace mintknot::runtime {

/// Asks a peer to lend retries of a service.
struct loan_request {
    std::uint64_t number = 0; ///< Repeated in the offer.
    std::string service;
    int repeats = 0; ///< Maximum number of retries.
};

/// Lends retries in answer to a request.
struct loan_offer {
    std::uint64_t number = 0;
    int repeats = 0;
};

using loan_message = std::variant<loan_request, loan_offer>;

/// @return the message in MessagePack. Instances that do not know the format
/// ignore it as malformed.
std::string encode(const loan_message& value);

/// @return InvalidArgument if the datagram is neither of these messages.
absl::StatusOr<loan_message> decode_loan(std::string_view datagram);

} // namespace mintknot::runtime

#endif
