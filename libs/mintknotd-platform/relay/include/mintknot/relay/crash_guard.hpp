/// @file
/// Interface through which exchanges check whether a request is blocked because
/// it crashes servers, and report how calls with it ended.
#ifndef MINTKNOT_RELAY_CRASH_GUARD_HPP
#define MINTKNOT_RELAY_CRASH_GUARD_HPP

#include <mintknot/base/time.hpp>
#include <mintknot/policy/part_evidence.hpp>

#include <cstddef>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace mintknot::relay {

/// Identifies a request by its content, independent of its request ID. The
/// digest of a large body takes milliseconds, so it is computed on first use.
class request_identity {
public:
    /// @param compute_digest called at most once, see request_digest().
    /// @param parts of its prompt that other requests may share.
    request_identity(
        std::size_t body_bytes, std::function<std::string()> compute_digest,
        policy::prompt_parts parts = {});

    std::size_t body_bytes() const noexcept { return body_bytes_; }
    const std::string& digest() const;
    const policy::prompt_parts& parts() const noexcept { return parts_; }

private:
    std::size_t body_bytes_;
    std::function<std::string()> compute_digest_;
    mutable std::string digest_;
    policy::prompt_parts parts_;
};

/// Names the shared parts of a prompt by service, for a request_identity.
/// @param ids of all parts in order; the last one is the request's own.
policy::prompt_parts
shared_parts(const std::string& service, const std::vector<std::string>& ids);

/// A block that applies to a request.
struct crash_block {
    base::milliseconds left{0};
    std::string parts; ///< Of the prompt; empty: the whole request is blocked.
};

/// A call whose connection ended before the answer was complete.
struct broken_call {
    std::string server_id;
    base::milliseconds ran_for{0}; ///< Since the request was sent.
    /// The answer had just begun, or had not, so that a part of the prompt may
    /// have ended the server.
    bool answer_just_begun = false;
};

/// Tracks which requests crash servers, across all instances.
class crash_guard {
public:
    virtual ~crash_guard() = default;

    /// @return the block that applies to the request; empty: none.
    virtual std::optional<crash_block>
    find_block(const request_identity& request) const = 0;

    /// Reports a broken call: the server may have crashed, or only the
    /// connection was lost.
    virtual void report_broken_call(
        const request_identity& request, const broken_call& call) = 0;

    /// Reports that a server has been writing the answer for longer than it
    /// would live if a part of the prompt crashed it (policy::sound_time).
    virtual void report_sound(const request_identity& request) = 0;

    /// Reports that a server has run the request and sent a complete answer.
    virtual void report_answer(const request_identity& request) = 0;
};

} // namespace mintknot::relay

#endif
