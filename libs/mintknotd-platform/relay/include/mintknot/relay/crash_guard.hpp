/// @file
/// How exchanges ask whether their request crashes the servers that run it, and
/// tell what became of it.
#ifndef MINTKNOT_RELAY_CRASH_GUARD_HPP
#define MINTKNOT_RELAY_CRASH_GUARD_HPP

#include <mintknot/base/time.hpp>

#include <cstddef>
#include <functional>
#include <optional>
#include <string>

namespace mintknot::relay {

/// A request under whatever ID it comes. The digest of a large body takes
/// milliseconds: it is made when it is first asked for.
class request_identity {
public:
    /// @param make called once at most, see request_digest().
    request_identity(
        std::size_t body_bytes, std::function<std::string()> compute_digest);

    std::size_t body_bytes() const noexcept { return body_bytes_; }
    const std::string& digest() const;

private:
    std::size_t body_bytes_;
    std::function<std::string()> compute_digest_;
    mutable std::string digest_;
};

/// Knows which requests crash servers, over all instances.
class crash_guard {
public:
    virtual ~crash_guard() = default;

    /// @return for how much longer the request is refused; nothing: it is not.
    virtual std::optional<base::milliseconds>
    blocked_for(const request_identity& request) const = 0;

    /// A call to a server has ended before its answer did: the server may have
    /// crashed, or only the connection is lost. @param ran_for since the send.
    virtual void report_broken_call(
        const request_identity& request, const std::string& server_id,
        base::milliseconds ran_for) = 0;

    /// A server has run the request and its answer is whole.
    virtual void report_answer(const request_identity& request) = 0;
};

} // namespace mintknot::relay

#endif
