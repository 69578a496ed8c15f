/// @file
/// The life of one request as a plain struct and its transitions.
#ifndef MINTKNOT_ENTRY_REQUEST_STATE_HPP
#define MINTKNOT_ENTRY_REQUEST_STATE_HPP

#include <mintknot/base/refusal.hpp>
#include <mintknot/base/time.hpp>
#include <mintknot/engine/orders.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace mintknot::entry {

/// received -> placed -> prefilling -> transferring -> decoding -> finished.
/// A retry goes back to received; the tokens stay.
enum class request_phase {
    received,
    placed,
    prefilling,
    transferring,
    decoding,
    finished,
};

struct request_state {
    request_phase phase = request_phase::received;
    base::verdict run = base::verdict::not_run;
    std::string attempt;             ///< The current one; others are stale.
    std::vector<std::string> tokens; ///< In order, without gaps.
    std::uint64_t first_offset = 0;  ///< Of tokens.front().
    engine::finish_reason finish = engine::finish_reason::none;
    std::optional<base::refusal> failed;
    base::steady_time received_at;
    base::steady_time first_token_at; ///< Epoch: there was none yet.
    base::steady_time finished_at;
};

/// @return the offset of the token that is expected next.
std::uint64_t next_offset(const request_state& state) noexcept;

/// Starts an attempt: what earlier ones still send is ignored from now on.
void begin_attempt(request_state& state, const std::string& attempt);

/// Moves the current attempt on and raises the verdict.
void enter(request_state& state, request_phase phase, base::verdict run);

/// Takes a token. @return false, and no effect, unless it comes from the
/// current attempt and is the very next one.
bool accept_token(
    request_state& state, const std::string& attempt, std::uint64_t offset,
    std::string text, base::steady_time now);

/// Ends the request with its whole answer. @return false for a stale attempt
/// or a request that has ended already.
bool complete(
    request_state& state, const std::string& attempt,
    engine::finish_reason finish, base::steady_time now);

/// Ends the request without an answer; the verdict is only ever raised.
/// @return false if it has ended already.
bool fail(request_state& state, base::refusal why, base::steady_time now);

} // namespace mintknot::entry

#endif
