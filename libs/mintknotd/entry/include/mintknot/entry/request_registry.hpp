/// @file
/// The requests that this instance holds, and the limits on them.
#ifndef MINTKNOT_ENTRY_REQUEST_REGISTRY_HPP
#define MINTKNOT_ENTRY_REQUEST_REGISTRY_HPP

#include <mintknot/entry/live_request.hpp>

#include <cstddef>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace mintknot::entry {

struct registry_options {
    std::size_t most_open = 512;
    /// Answers that nobody reads are cancelled, and finished ones forgotten,
    /// after this.
    base::milliseconds resume_grace{2000};
};

/// Thread: all functions may be called from any thread.
class request_registry {
public:
    explicit request_registry(const registry_options& options);
    ~request_registry();
    request_registry(const request_registry&) = delete;
    request_registry& operator=(const request_registry&) = delete;

    /// Takes a request in, unless a limit forbids it. With an idempotency key
    /// that is known for the organisation, the earlier request is returned.
    base::outcome<std::shared_ptr<live_request>>
    add(completion_call call, std::size_t most_open_for_organisation);

    /// @return nullptr if it is not here (any more).
    std::shared_ptr<live_request> find(const std::string& id) const;

    /// @return whether the attempt belongs to a request that runs here. (The
    /// name of an attempt begins with the request ID.)
    bool knows_attempt(const std::string& attempt) const;

    /// @return the number of requests that have not ended.
    std::size_t open() const;

    std::vector<std::shared_ptr<live_request>> all() const;

    /// Cancels what nobody reads and forgets what has ended. Call it often.
    void sweep();

    /// Tells that a request has ended, for the limits.
    void note_ended(const live_request& request);

private:
    struct impl;
    std::unique_ptr<impl> impl_;
};

} // namespace mintknot::entry

#endif
