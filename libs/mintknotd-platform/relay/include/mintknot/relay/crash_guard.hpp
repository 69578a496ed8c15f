/// @file
/// Interface through which exchanges check whether a request is blocked because
/// it crashes servers, and report how calls with it ended.
#ifndef MINTKNOT_RELAY_CRASH_GUARD_HPP
#define MINTKNOT_RELAY_CRASH_GUARD_HPP

#include <mintknot/base/time.hpp>

#include <cstddef>
#include <functional>
#include <optional>
#include <string>

namespace mintknot::relay {

/// Identifies a request by its content, independent of its request ID. The
/// digest of a large body takes milliseconds, so it is computed on first use.
class request_identity {
public:
    /// @param compute_digest called at most once, see request_digest().
    request_identity(
        std::size_t body_bytes, std::function<std::string()> compute_digest);

    std::size_t body_bytes() const noexcept { return body_bytes_; }
    const std::string& digest() const;

private:
    std::size_t body_bytes_;
    std::function<std::string()> compute_digest_;
    mutable std::string digest_;
};

/// Tracks which requests crash servers, across all instances.
class crash_guard {
public:
    virtual ~crash_guard() = default;

    /// @return for how much longer the request is refused; empty if it is not
    /// blocked.
    virtual std::optional<base::milliseconds>
    blocked_for(const request_identity& request) const = 0;

    /// Reports a call whose connection ended before the answer was complete:
    /// the server may have crashed, or only the connection was lost.
    /// @param ran_for time since the request was sent.
    virtual void report_broken_call(
        const request_identity& request, const std::string& server_id,
        base::milliseconds ran_for) = 0;

    /// Reports that a server has run the request and sent a complete answer.
    virtual void report_answer(const request_identity& request) = 0;
};

} // namespace mintknot::relay

#endif
