/// @file
/// Routes, services and limits: the configuration in force for traffic.
#ifndef MINTKNOT_TRAFFIC_CONFIGURATION_HPP
#define MINTKNOT_TRAFFIC_CONFIGURATION_HPP

#include <mintknot/base/time.hpp>
#include <mintknot/traffic/organisation_table.hpp>

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace mintknot::traffic {

/// What may be repeated on a route.
enum class route_kind {
    safe,      ///< May run more than once.
    unsafe,    ///< Runs at most once.
    streaming, ///< A series of events; runs once unless it is resumable.
};

/// A service's share of a route.
struct weighted_service {
    std::string name;
    double weight = 1.0;
};

/// One route: which requests, to which service, under which terms.
struct route {
    std::string name;
    std::string host;
    std::string path_prefix; ///< Begins and ends with a slash.
    route_kind kind = route_kind::unsafe;
    base::milliseconds timeout{30000};
    base::milliseconds target_latency{1000};
    base::milliseconds target_gap{0}; ///< Longest pause between events.
    int priority = 0;                 ///< 0 is the highest.
    int max_attempts = 1;
    bool resumable = false;
    bool open_to_all = false; ///< Callers need no key.
    std::vector<weighted_service> services;

    /// @return true if a request may run on more than one server.
    bool repeatable() const noexcept {
        return kind == route_kind::safe || resumable;
    }
};

/// What the configuration tells of the model engines of a service.
struct engine_spec {
    std::uint64_t memory_tokens = 0;
    base::milliseconds handle_life{500};
    double tokens_per_event = 1.0; ///< Output tokens that one event holds.
};

/// A service: servers of one kind.
struct service {
    std::string name;
    std::string health_path;
    std::size_t max_connections = 100; ///< At one server, from all callers.
    std::optional<engine_spec> engine; ///< Only for model engines.
    /// Streams of the service may have different priorities, by their route or
    /// organisation. Set by index().
    bool mixed_priorities = false;
};

/// Bounds on what a caller may send, and how long it may take.
struct caller_limits {
    std::size_t header_bytes = 16 * 1024;
    std::uint64_t body_bytes = 4 * 1024 * 1024;
    base::milliseconds header_timeout{3000};
    base::milliseconds idle_timeout{15000};
};

/// One version of the configuration, immutable once it is indexed.
struct configuration {
    std::uint64_t version = 0;
    std::vector<route> routes;
    std::unordered_map<std::string, service> services;
    caller_limits limits;
    /// Null: callers need no keys on any route.
    std::shared_ptr<const organisation_table> organisations;
    /// Position in `routes` by host and prefix; see index().
    std::unordered_map<std::string, std::size_t> by_place;
};

/// Builds `by_place` and sets `service::mixed_priorities`. To be called once,
/// after the routes are complete.
void index(configuration& value);

/// @return the route with the longest prefix that begins the path, or null.
/// @param host as in the Host field; a port and the case do not matter.
/// @param target the request target; a query does not matter.
const route* find_route(
    const configuration& value, std::string_view host, std::string_view target);

/// @return the service for a request of the route. @param draw uniform in
/// [0, 1). Precondition: the route has a service.
const std::string& choose_service(const route& value, double draw);

} // namespace mintknot::traffic

#endif
