/// @file
/// Datagrams about parts of prompts that crash engines.
#ifndef MINTKNOT_CRASHES_PART_MESSAGES_HPP
#define MINTKNOT_CRASHES_PART_MESSAGES_HPP

#include <mintknot/policy/part_evidence.hpp>

#include <absl/status/statusor.h>

#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace mintknot::crashes {

/// Announces parts whose requests are blocked.
struct part_block_announcement {
    std::vector<policy::part_block_entry> blocks;
};

/// Asks when parts were last sound, before they are blocked.
struct soundness_query {
    std::string reply_to; ///< Host of the instance that asks.
    policy::prompt_parts parts;
};

/// A part that was sound.
struct sound_part {
    std::string part;
    base::milliseconds ago{0};
};

/// Answers a soundness_query; parts that are not known to be sound are left
/// out.
struct soundness_reply {
    std::vector<sound_part> parts;
};

/// Announces that an engine has answered a request with blocked parts, which
/// ends their block.
struct part_clear_announcement {
    policy::prompt_parts parts;
};

using part_message = std::variant<
    part_block_announcement, soundness_query, soundness_reply,
    part_clear_announcement>;

/// Most parts in a block, a query or a reply, and blocks in an announcement, so
/// that a message fits into one packet.
inline constexpr std::size_t max_parts = 16;
inline constexpr std::size_t max_part_blocks = 8;

/// @return the message in MessagePack. Instances that do not know the message
/// type ignore it as a malformed datagram.
std::string encode(const part_message& value);

/// @return InvalidArgument if the datagram is not one of these messages.
absl::StatusOr<part_message> decode_part_message(std::string_view datagram);

} // namespace mintknot::crashes

#endif
