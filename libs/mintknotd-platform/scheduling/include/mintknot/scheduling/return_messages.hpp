/// @file
/// Datagrams by which an instance asks a scheduler when a refused caller may
/// return.
#ifndef MINTKNOT_SCHEDULING_RETURN_MESSAGES_HPP
#define MINTKNOT_SCHEDULING_RETURN_MESSAGES_HPP

#include <mintknot/relay/return_planner.hpp>

#include <absl/status/statusor.h>

#include <cstdint>
#include <string>
#include <string_view>
#include <variant>

namespace mintknot::scheduling {

/// Asks the scheduler of a domain for a return time.
struct return_request {
    std::uint64_t number = 0; ///< The answer repeats it.
    std::string data_centre;  ///< Of the domain; empty: all.
    relay::refused_request refused;
};

/// Answer to a return_request.
struct return_answer {
    std::uint64_t number = 0;
    bool promised = false;
    /// If not promised, the caller's time left, or zero if the scheduler knows
    /// nothing of the service or its capacity.
    base::milliseconds retry_after{0};
};

using return_message = std::variant<return_request, return_answer>;

/// @return the message in MessagePack.
std::string encode(const return_message& value);

/// @return InvalidArgument if the datagram is none of these messages.
absl::StatusOr<return_message> decode_return(std::string_view datagram);

} // namespace mintknot::scheduling

#endif
