/// @file
/// The HTTP interface for operators (docs/API.md).
#ifndef MINTKNOT_OPERATORS_OPERATOR_API_HPP
#define MINTKNOT_OPERATORS_OPERATOR_API_HPP

#include <mintknot/audit/decision_log.hpp>
#include <mintknot/config/change_feed.hpp>
#include <mintknot/config/config_store.hpp>
#include <mintknot/config/settings.hpp>
#include <mintknot/control/control_loop.hpp>
#include <mintknot/metrics/traffic_metrics.hpp>
#include <mintknot/rpc/peer_client.hpp>
#include <mintknot/supervise/supervisor.hpp>

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace httplib {
class Server;
} // namespace httplib

namespace mintknot::operators {

/// Whether the instance is ready, and if not, why.
struct readiness {
    bool ready = false;
    std::string sentence;
};

/// What the interface works with. All must outlive it.
struct operator_parts {
    std::vector<config::operator_key> keys;
    config::change_feed& feed;
    config::config_store& store;
    const control::control_loop& control;
    rpc::peer_client& peers;
    const audit::decision_log& decisions;
    const metrics::traffic_metrics& metrics;
    std::function<void()> hurry_reader; ///< See config_reader.
    std::function<readiness()> is_ready;
    std::function<std::vector<supervise::child_status>()> parts_status;
};

/// Thread: handlers run on the threads of the HTTP server.
class operator_api {
public:
    explicit operator_api(operator_parts parts);
    ~operator_api();
    operator_api(const operator_api&) = delete;
    operator_api& operator=(const operator_api&) = delete;

    void add_routes(httplib::Server& routes);

    /// Adds /healthz and /readyz only, for the callers' port.
    void add_health_routes(httplib::Server& routes);

private:
    void add_resource_routes(httplib::Server& routes);
    void add_record_routes(httplib::Server& routes);

    struct impl;
    std::unique_ptr<impl> impl_;
};

} // namespace mintknot::operators

#endif
