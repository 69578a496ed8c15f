/// @file
/// Classification of the HTTP status of servers' answers.
#ifndef MINTKNOT_RELAY_ANSWER_STATUS_HPP
#define MINTKNOT_RELAY_ANSWER_STATUS_HPP

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

} // namespace mintknot::relay

#endif
