/// @file
/// The well-known JSON shapes of answers, and of refusals.
#ifndef MINTKNOT_ENTRY_ANSWER_FORMAT_HPP
#define MINTKNOT_ENTRY_ANSWER_FORMAT_HPP

#include <mintknot/base/refusal.hpp>
#include <mintknot/engine/orders.hpp>

#include <cstdint>
#include <string>
#include <vector>

namespace mintknot::entry {

/// Fields that every piece of an answer repeats.
struct answer_head {
    std::string id;
    std::string model;
};

/// @return one server-sent event for a token; its event ID is the number of
/// tokens received with it, for Last-Event-ID.
std::string token_event(
    const answer_head& head, std::uint64_t offset, const std::string& text);

/// @return the last token event, with the finish reason, and "[DONE]".
std::string end_events(const answer_head& head, engine::finish_reason finish);

/// @return an event of the type "error" with reason and verdict.
std::string error_event(const answer_head& head, const base::refusal& why);

/// @return the answer to a call without streaming.
std::string whole_answer(
    const answer_head& head, const std::vector<std::string>& tokens,
    std::uint64_t prompt_tokens, engine::finish_reason finish);

/// @return the body of a refusal: {"error": {...}}.
std::string refusal_body(const std::string& id, const base::refusal& why);

} // namespace mintknot::entry

#endif
