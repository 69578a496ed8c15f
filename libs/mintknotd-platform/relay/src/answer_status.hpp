/// @file
/// Statuses of servers' answers that the exchanges tell apart.
#ifndef MINTKNOT_RELAY_ANSWER_STATUS_HPP
#define MINTKNOT_RELAY_ANSWER_STATUS_HPP

namespace mintknot::relay {

/// Another server has the address; the request has not run there.
inline constexpr int status_misdirected = 421;

inline bool is_success(int status) noexcept {
    return status >= 200 && status < 300;
}

/// The server has failed at the request; another one may do better.
inline bool is_server_failure(int status) noexcept {
    return status >= 500;
}

} // namespace mintknot::relay

#endif
