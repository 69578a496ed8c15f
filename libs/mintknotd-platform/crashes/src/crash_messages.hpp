/// @file
/// The datagrams by which instances tell of crashes and blocked requests.
#ifndef MINTKNOT_CRASHES_CRASH_MESSAGES_HPP
#define MINTKNOT_CRASHES_CRASH_MESSAGES_HPP

#include <mintknot/policy/crash_evidence.hpp>

#include <absl/status/statusor.h>

#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace mintknot::crashes {

/// A request that ran on a server when that ended.
struct broken_run {
    policy::request_key key;
    base::milliseconds ran_for{0};
    base::milliseconds ago{0}; ///< That it ended, when the message is sent.
};

/// A server has ended without a word.
struct crash_report {
    std::string server_life; ///< See policy::crash_record.
    std::vector<broken_run> runs;
};

/// Requests that are refused.
struct block_notice {
    std::vector<policy::block_entry> blocks;
};

/// A server has given a whole answer to a request.
struct clear_notice {
    std::string digest;
};

using crash_message = std::variant<crash_report, block_notice, clear_notice>;

/// Entries of one message at most: it fits into one packet.
inline constexpr std::size_t max_entries = 16;

/// @return the message in MessagePack. Instances that do not know it take it
/// for a malformed datagram and ignore it.
std::string encode(const crash_message& value);

/// @return InvalidArgument if the datagram is none of these messages.
absl::StatusOr<crash_message> decode_crash_message(std::string_view datagram);

} // namespace mintknot::crashes

#endif
