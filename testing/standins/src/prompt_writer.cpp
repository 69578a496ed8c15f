#include <mintknot/standins/prompt_writer.hpp>

#include <xxhash.h>

#include <array>

namespace mintknot::standins {

namespace {

constexpr std::array<std::string_view, 32> words{
    " valve", " rotor", " seal",  " check", " the",   " and",   " panel",
    " via",   " drill", " mask",  " oil",   " gauge", " bar",   " hose",
    " belt",  " fan",   " quote", " order", " net",   " layer", " pad",
    " trace", " ring",  " stack", " mill",  " cut",   " press", " shift",
    " line",  " crew",  " shop",  " part"};

/// One in so many positions is the natural end of an answer. Rare, so that a
/// stream which nobody cancels goes on for minutes and a test sees it.
constexpr std::uint64_t end_chance = 1ULL << 20U;

} // namespace

struct prompt_writer::impl {
    struct free_state {
        void operator()(XXH64_state_t* state) const { XXH64_freeState(state); }
    };

    std::unique_ptr<XXH64_state_t, free_state> state{XXH64_createState()};
};

prompt_writer::prompt_writer(std::string_view text)
    : impl_(std::make_unique<impl>()) {
    XXH64_reset(impl_->state.get(), 0);
    XXH64_update(impl_->state.get(), text.data(), text.size());
}

prompt_writer::~prompt_writer() = default;
prompt_writer::prompt_writer(prompt_writer&&) noexcept = default;
prompt_writer& prompt_writer::operator=(prompt_writer&&) noexcept = default;

std::string prompt_writer::next() {
    const std::uint64_t digest = XXH64_digest(impl_->state.get());
    if (digest % end_chance == 0)
        return {};
    const std::string_view word = words.at((digest >> 32U) % words.size());
    XXH64_update(impl_->state.get(), word.data(), word.size());
    return std::string(word);
}

std::vector<std::string>
expected_answer(std::string_view prompt, std::uint64_t max_tokens) {
    prompt_writer writer(prompt);
    std::vector<std::string> tokens;
    while (tokens.size() < max_tokens) {
        std::string token = writer.next();
        if (token.empty())
            break;
        tokens.push_back(std::move(token));
    }
    return tokens;
}

} // namespace mintknot::standins
