/// @file
/// Answers that began at another instance, which may be gone.
#ifndef MINTKNOT_ENTRY_REMOTE_STREAMS_HPP
#define MINTKNOT_ENTRY_REMOTE_STREAMS_HPP

#include <mintknot/audit/decision_log.hpp>
#include <mintknot/control/control_loop.hpp>
#include <mintknot/engine/engine_client.hpp>
#include <mintknot/entry/live_request.hpp>
#include <mintknot/rpc/peer_client.hpp>

#include <functional>
#include <optional>
#include <string>

namespace mintknot::entry {

/// What the reader works with. All must outlive it.
struct remote_parts {
    const control::control_loop& control;
    rpc::peer_client& peers;
    engine::engine_client& engines;
    audit::decision_log& decisions;
    /// Looks in the reports of the engines that this instance watches.
    std::function<std::optional<rpc::found_stream>(const std::string& request)>
        find_stream;
    base::milliseconds idle_timeout{3000};
};

/// Feeds a local copy of a request that another instance holds. If that is
/// gone, the engine that still holds the stream is looked for through the
/// watchers, and the answer goes on from there; the organisation that the
/// engine names has to be the caller's.
///
/// Thread: follow() from any thread; it blocks until the copy has ended or
/// nobody reads it any more.
class remote_streams {
public:
    explicit remote_streams(remote_parts parts);

    void follow(const base::request_id& id, live_request& copy);

private:
    void read_from_holder(
        const base::address& holder, const std::string& request,
        live_request& copy);
    void read_from_engine(const rpc::found_stream& found, live_request& copy);
    std::optional<rpc::found_stream>
    search(const base::request_id& id, const live_request& copy);
    std::optional<rpc::found_stream>
    search_once(const base::request_id& id) const;

    const remote_parts parts_;
};

} // namespace mintknot::entry

#endif
