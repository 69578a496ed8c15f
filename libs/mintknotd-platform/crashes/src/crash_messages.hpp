/// @file
/// Datagrams by which instances report crashes and announce blocked requests.
#ifndef MINTKNOT_CRASHES_CRASH_MESSAGES_HPP
#define MINTKNOT_CRASHES_CRASH_MESSAGES_HPP

#include <mintknot/policy/crash_evidence.hpp>
#include <mintknot/policy/part_evidence.hpp>

#include <absl/status/statusor.h>

#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace mintknot::crashes {

/// A run of a request that broke off because its server ended.
struct broken_run {
    policy::request_key key;
    base::milliseconds ran_for{0};
    base::milliseconds ago{0}; ///< Since the run broke, at the time of sending.
    policy::server_liveness liveness = policy::server_liveness::assumed;
    /// Parts of its prompt that may have ended the server.
    policy::prompt_parts parts{};
};

/// Reports that a server has ended unexpectedly.
struct crash_report {
    std::string server_incarnation; ///< See policy::crash_record.
    std::vector<broken_run> runs;
};

/// Announces requests that are blocked.
struct block_announcement {
    std::vector<policy::block_entry> blocks;
};

/// Announces that a server has answered a request completely, which unblocks
/// it.
struct clear_announcement {
    std::string digest;
};

using crash_message =
    std::variant<crash_report, block_announcement, clear_announcement>;

/// Maximum number of entries in a message, so that it fits into one packet.
inline constexpr std::size_t max_entries = 16;

/// @return the message in MessagePack. Instances that do not know the message
/// type ignore it as a malformed datagram.
std::string encode(const crash_message& value);

/// @return InvalidArgument if the datagram is not one of these messages.
absl::StatusOr<crash_message> decode_crash_message(std::string_view datagram);

} // namespace mintknot::crashes

#endif
