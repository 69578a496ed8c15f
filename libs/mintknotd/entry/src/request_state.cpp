#include <mintknot/entry/request_state.hpp>

namespace mintknot::entry {

std::uint64_t next_offset(const request_state& state) noexcept {
    return state.first_offset + state.tokens.size();
}

void begin_attempt(request_state& state, const std::string& attempt) {
    state.attempt = attempt;
    state.phase = request_phase::placed;
}

void enter(request_state& state, request_phase phase, base::verdict run) {
    if (state.phase == request_phase::finished)
        return;
    state.phase = phase;
    state.run = base::raised(state.run, run);
}

bool accept_token(
    request_state& state, const std::string& attempt, std::uint64_t offset,
    std::string text, base::steady_time now) {
    const bool current =
        state.phase != request_phase::finished && state.attempt == attempt;
    if (!current || offset != next_offset(state))
        return false;
    if (state.tokens.empty())
        state.first_token_at = now;
    state.tokens.push_back(std::move(text));
    return true;
}

bool complete(
    request_state& state, const std::string& attempt,
    engine::finish_reason finish, base::steady_time now) {
    if (state.phase == request_phase::finished || state.attempt != attempt)
        return false;
    state.phase = request_phase::finished;
    state.run = base::verdict::ran;
    state.finish = finish;
    state.finished_at = now;
    return true;
}

bool fail(request_state& state, base::refusal why, base::steady_time now) {
    if (state.phase == request_phase::finished)
        return false;
    state.phase = request_phase::finished;
    state.run = base::raised(state.run, why.run);
    why.run = state.run;
    state.failed = std::move(why);
    state.finished_at = now;
    return true;
}

} // namespace mintknot::entry
