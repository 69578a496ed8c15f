/// @file
/// Prompt prefixes as chained block hashes.
#ifndef MINTKNOT_BASE_PROMPT_BLOCKS_HPP
#define MINTKNOT_BASE_PROMPT_BLOCKS_HPP

#include <cstddef>
#include <cstdint>
#include <string_view>
#include <vector>

namespace mintknot::base {

/// Bytes of prompt text in one cached block.
inline constexpr std::size_t block_bytes = 256;
/// Bytes of prompt text that count as one token.
inline constexpr std::size_t token_bytes = 4;
/// Tokens in one cached block.
inline constexpr std::size_t block_tokens = block_bytes / token_bytes;

/// The hash of the first `blocks` blocks of a prompt.
struct prefix_hash {
    std::uint32_t blocks = 0;
    std::uint64_t hash = 0;

    bool operator==(const prefix_hash&) const = default;
};

/// @return the number of tokens of a prompt, at least 1.
std::size_t count_tokens(std::string_view prompt) noexcept;

/// @return one hash for each whole block; hash i covers blocks 0..i. Shorter
/// prompts than one block have none.
std::vector<std::uint64_t> block_hashes(std::string_view prompt);

/// Thins block hashes to growing distances (1, 2, 4, ... blocks and the last),
/// so that a placement message stays small for a prompt of any length.
std::vector<prefix_hash> sparse_prefix(const std::vector<std::uint64_t>& all);

} // namespace mintknot::base

#endif
