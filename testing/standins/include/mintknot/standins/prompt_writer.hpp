/// @file
/// Deterministic tokens: any engine continues a text in the same way.
#ifndef MINTKNOT_STANDINS_PROMPT_WRITER_HPP
#define MINTKNOT_STANDINS_PROMPT_WRITER_HPP

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace mintknot::standins {

/// Continues a text word by word. The next word depends on the whole text so
/// far, so a prompt with some tokens added goes on exactly as the stream did.
class prompt_writer {
public:
    explicit prompt_writer(std::string_view text);
    ~prompt_writer();
    prompt_writer(prompt_writer&&) noexcept;
    prompt_writer& operator=(prompt_writer&&) noexcept;

    /// @return the next token, or an empty text at the natural end.
    std::string next();

private:
    struct impl;
    std::unique_ptr<impl> impl_;
};

/// @return the whole answer to a prompt, one element for each token.
std::vector<std::string>
expected_answer(std::string_view prompt, std::uint64_t max_tokens);

} // namespace mintknot::standins

#endif
