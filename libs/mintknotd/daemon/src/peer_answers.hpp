/// @file
/// Answers what other instances ask.
#ifndef MINTKNOT_DAEMON_SRC_PEER_ANSWERS_HPP
#define MINTKNOT_DAEMON_SRC_PEER_ANSWERS_HPP

#include <mintknot/audit/decision_log.hpp>
#include <mintknot/config/change_feed.hpp>
#include <mintknot/control/control_loop.hpp>
#include <mintknot/control/engine_watcher.hpp>
#include <mintknot/entry/caller_api.hpp>
#include <mintknot/entry/request_registry.hpp>
#include <mintknot/rpc/peer_server.hpp>

namespace mintknot::daemon {

/// All parts must outlive it.
class peer_answers final : public rpc::peer_handler {
public:
    peer_answers(
        control::control_loop& control, const config::change_feed& feed,
        const audit::decision_log& decisions,
        const entry::request_registry& registry,
        const control::engine_watcher& watcher, entry::caller_api& callers);

    void place(
        const routing::place_query& query, rpc::placed_callback done) override;
    void report(rpc::progress_batch batch) override;
    void attach(
        const rpc::attach_request& request,
        const rpc::attach_sink& sink) override;
    std::string explain(const std::string& request) override;
    rpc::config_page changes_since(std::uint64_t revision) override;
    std::vector<std::string>
    unknown_streams(const std::vector<std::string>& attempts) override;
    std::optional<rpc::found_stream>
    find_stream(const std::string& request) override;

private:
    control::control_loop& control_;
    const config::change_feed& feed_;
    const audit::decision_log& decisions_;
    const entry::request_registry& registry_;
    const control::engine_watcher& watcher_;
    entry::caller_api& callers_;
};

} // namespace mintknot::daemon

#endif
