/// @file
/// Datagrams by which instances request parts of a limit from each other.
#ifndef MINTKNOT_LIMITS_USAGE_MESSAGES_HPP
#define MINTKNOT_LIMITS_USAGE_MESSAGES_HPP

#include <mintknot/base/time.hpp>

#include <absl/status/statusor.h>

#include <cstdint>
#include <string>
#include <string_view>
#include <variant>

namespace mintknot::limits {

/// Account of an organisation, by the part of the limit that it grants.
enum class account_kind {
    keeper, ///< For all instances.
    deputy, ///< For one data centre, while the keeper is silent.
    own     ///< For the instance itself, while keeper and deputy are silent.
};

/// Asks to draw a cost from an account.
struct usage_request {
    std::uint64_t number = 0; ///< The answer repeats it.
    std::string organisation;
    double cost = 0.0;
    account_kind account = account_kind::keeper;
};

enum class usage_verdict {
    unknown, ///< The receiver knows no such organisation.
    granted,
    refused
};

struct usage_answer {
    std::uint64_t number = 0;
    usage_verdict verdict = usage_verdict::unknown;
    base::milliseconds retry_after{0}; ///< If refused.
};

/// Refunds what was granted to the request with this number.
struct usage_refund {
    std::uint64_t number = 0;
    std::string organisation;
    double cost = 0.0;
    account_kind account = account_kind::keeper;
};

/// Charges the keeper's account for what was granted while the keeper did not
/// answer.
struct usage_charge {
    std::string organisation;
    double cost = 0.0;
};

using usage_message =
    std::variant<usage_request, usage_answer, usage_refund, usage_charge>;

/// @return the message in MessagePack.
std::string encode(const usage_message& value);

/// @return InvalidArgument if the datagram is not one of these messages.
absl::StatusOr<usage_message> decode_usage(std::string_view datagram);

} // namespace mintknot::limits

#endif
