/// @file
/// How much of answers that are not whole yet an instance may hold.
///
/// A plain answer is held so that a broken one can be replaced, an event until
/// it is whole. A faulty server may send bytes without end. Keeps that from
/// filling the memory of the instance, and so from ending the requests of
/// others. Log event: `call_broke` with `how` bad_answer.
#ifndef MINTKNOT_POLICY_HELD_ANSWERS_HPP
#define MINTKNOT_POLICY_HELD_ANSWERS_HPP

#include <cstddef>

namespace mintknot::policy {

/// What all requests of an instance hold of answers that are not whole yet.
struct held_answers {
    std::size_t bytes = 0;
    std::size_t answers = 0; ///< Of which any byte is held.
};

/// @return the length of the longest event that a sound engine sends for a
/// request: one event may hold all tokens that are left.
/// @param max_output_tokens 0: the request does not say.
std::size_t max_event_bytes(double max_output_tokens);

/// @return true if a request may hold `own` bytes. While all hold too much,
/// only those may grow that hold less than their part, so that what one server
/// sends does not end the answers of others.
/// @param others what all other requests hold.
/// @param max_bytes over all requests; together they hold less than twice that.
bool may_hold(
    std::size_t own, const held_answers& others, std::size_t max_bytes);

/// @return how much of one answer may wait for whoever reads it, before its
/// server is not read any more: the part of one of `answers` in the whole.
std::size_t max_unsent_bytes(std::size_t answers, std::size_t max_bytes);

} // namespace mintknot::policy

#endif
