#include <mintknot/base/prompt_blocks.hpp>

#include <xxhash.h>

#include <algorithm>

namespace mintknot::base {

std::size_t count_tokens(std::string_view prompt) noexcept {
    const std::size_t tokens = (prompt.size() + token_bytes - 1) / token_bytes;
    return std::max<std::size_t>(tokens, 1);
}

std::vector<std::uint64_t> block_hashes(std::string_view prompt) {
    std::vector<std::uint64_t> hashes;
    hashes.reserve(prompt.size() / block_bytes);
    std::uint64_t previous = 0;
    for (std::size_t begin = 0; begin + block_bytes <= prompt.size();
         begin += block_bytes) {
        // The hash before is the seed, so that a hash names a whole prefix.
        previous =
            XXH3_64bits_withSeed(prompt.data() + begin, block_bytes, previous);
        hashes.push_back(previous);
    }
    return hashes;
}

std::vector<prefix_hash> sparse_prefix(const std::vector<std::uint64_t>& all) {
    std::vector<prefix_hash> sparse;
    for (std::size_t blocks = 1; blocks <= all.size(); blocks *= 2)
        sparse.push_back({static_cast<std::uint32_t>(blocks), all[blocks - 1]});
    const auto last = static_cast<std::uint32_t>(all.size());
    if (last > 0 && sparse.back().blocks != last)
        sparse.push_back({last, all.back()});
    return sparse;
}

} // namespace mintknot::base
