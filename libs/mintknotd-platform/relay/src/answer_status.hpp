/// @file
/// What the head of a server's answer decides about the answer.
#ifndef MINTKNOT_RELAY_ANSWER_STATUS_HPP
#define MINTKNOT_RELAY_ANSWER_STATUS_HPP

#include <mintknot/policy/attempts.hpp>
#include <mintknot/relay/dialect.hpp>

namespace mintknot::relay {

/// The address now belongs to another server, which has not run the request.
inline constexpr int status_misdirected = 421;

inline bool is_success(int status) noexcept {
    return status >= 200 && status < 300;
}

/// The server failed to process the request; another server may succeed.
inline bool is_server_failure(int status) noexcept {
    return status >= 500;
}

/// @return how an answer with this head counts, plain ones and those of decode
/// engines alike. Known before the first byte of its body: nothing of an answer
/// that is rejected or bad may reach a caller, however long it is.
policy::call_end end_of_answer(int status, const answer_metadata& says);

} // namespace mintknot::relay

#endif
