/// @file
/// The HTTP interface for callers (docs/API.md).
#ifndef MINTKNOT_ENTRY_CALLER_API_HPP
#define MINTKNOT_ENTRY_CALLER_API_HPP

#include <mintknot/audit/decision_log.hpp>
#include <mintknot/config/change_feed.hpp>
#include <mintknot/control/control_loop.hpp>
#include <mintknot/entry/call_parser.hpp>
#include <mintknot/entry/plain_router.hpp>
#include <mintknot/entry/remote_streams.hpp>
#include <mintknot/entry/request_registry.hpp>
#include <mintknot/entry/request_runner.hpp>
#include <mintknot/net/elastic_pool.hpp>

#include <atomic>
#include <string>

namespace httplib {
class Server;
struct Request;
struct Response;
} // namespace httplib

namespace mintknot::entry {

/// Whether new requests are taken in. Closing: they are, but the instance
/// tells balancers that it is not ready.
enum class admission { not_ready, open, closing, stopping };

/// What the interface works with. All must outlive it.
struct caller_parts {
    const config::change_feed& feed;
    const control::control_loop& control;
    remote_streams& remote;
    request_registry& registry;
    request_runner& runner;
    plain_router& plain;
    audit::decision_log& decisions;
    net::elastic_pool& workers; ///< Runs requests.
};

/// Thread: handlers run on the threads of the HTTP server.
class caller_api {
public:
    explicit caller_api(caller_parts parts);
    caller_api(const caller_api&) = delete;
    caller_api& operator=(const caller_api&) = delete;

    void add_routes(httplib::Server& routes);
    void set_admission(admission state) noexcept { admission_ = state; }
    admission current_admission() const noexcept { return admission_; }

    /// Hands a held stream on to a peer's caller.
    void
    attach(const rpc::attach_request& request, const rpc::attach_sink& sink);

private:
    using request = httplib::Request;
    using response = httplib::Response;

    void complete(const request& in, response& out);
    void resume(const request& in, response& out);
    void cancel(const request& in, response& out);
    void plain(const request& in, response& out);
    std::shared_ptr<live_request>
    find_own(const request& in, response& out, const caller_identity& caller);
    void resume_elsewhere(
        const request& in, response& out, const caller_identity& caller,
        const base::request_id& id, std::uint64_t offset);
    base::outcome<caller_identity> admit(const request& in) const;
    void refuse(response& out, const std::string& id, const base::refusal& why);
    base::request_id next_id() const;

    const caller_parts parts_;
    std::atomic<admission> admission_{admission::not_ready};
};

} // namespace mintknot::entry

#endif
