/// @file
/// Interface through which exchanges tell which software version began a
/// stream, and ask for that of a stream which a caller takes up.
#ifndef MINTKNOT_RELAY_STREAM_ORIGINS_HPP
#define MINTKNOT_RELAY_STREAM_ORIGINS_HPP

#include <mintknot/base/time.hpp>
#include <mintknot/policy/stream_origin.hpp>
#include <mintknot/relay/ticket.hpp>

#include <functional>
#include <memory>
#include <string>

namespace mintknot::relay {

/// A stream, by the request that brought its first event.
struct stream_identity {
    std::string organisation; ///< Empty if the caller has none.
    std::string request_id;   ///< Empty: the caller does not say which.
    std::string service;
};

/// What is known of the beginning of a stream.
struct origin_answer {
    policy::origin_decision decision;
    std::string told_by;       ///< Host; empty: it is known here, or nowhere.
    base::milliseconds age{0}; ///< Since the stream began.
};

using origin_handler = std::function<void(const origin_answer&)>;

/// Remembers the beginnings of streams, across all instances.
class stream_origins {
public:
    virtual ~stream_origins() = default;

    /// Remembers a beginning here and at other instances. To be called before
    /// the first event goes to the caller.
    /// @param life for how long the stream may be taken up.
    virtual void note_begun(
        const stream_identity& stream, const std::string& version,
        base::milliseconds life) = 0;

    /// Finds the version that began a stream. `then` is called once, but not
    /// before this returns and not after the ticket is destroyed.
    virtual std::unique_ptr<ticket>
    find(const stream_identity& stream, origin_handler then) = 0;
};

} // namespace mintknot::relay

#endif
