#include "prompt_source.hpp"

#include <mintknot/base/prompt_blocks.hpp>

#include <fmt/format.h>

namespace mintknot::load {

namespace {

/// A text of that many bytes which differs from other texts early on.
std::string filler(const std::string& title, std::size_t bytes) {
    std::string text = title;
    while (text.size() < bytes)
        text += fmt::format(" {} line {}.", title, text.size());
    text.resize(bytes);
    return text;
}

} // namespace

std::string make_prompt(
    const mix_part& part, std::size_t part_number, std::uint64_t number,
    std::uint64_t tokens, std::mt19937_64& random) {
    const std::size_t bytes = tokens * base::token_bytes;
    std::string prompt;
    if (part.shared_prefixes > 0) {
        std::uniform_int_distribution<std::uint64_t> choose(
            0, part.shared_prefixes - 1);
        // The length of a shared text depends on the part, not on the prompt.
        const auto shared = static_cast<std::size_t>(
            part.shared_share * part.prompt_tokens * base::token_bytes);
        prompt = filler(
            fmt::format("history {}-{}", part_number, choose(random)),
            std::min(shared, bytes));
    }
    const std::string unique = fmt::format("case {}-{}", part_number, number);
    const std::size_t rest =
        bytes > prompt.size() ? bytes - prompt.size() : unique.size();
    return prompt + filler(unique, std::max(rest, unique.size()));
}

} // namespace mintknot::load
