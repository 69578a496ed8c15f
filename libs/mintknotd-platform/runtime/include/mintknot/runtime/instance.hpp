/// @file
/// One instance of the router on the event loop.
#ifndef MINTKNOT_RUNTIME_INSTANCE_HPP
#define MINTKNOT_RUNTIME_INSTANCE_HPP

#include <mintknot/base/address.hpp>
#include <mintknot/event/loop.hpp>
#include <mintknot/policy/super_peers.hpp>
#include <mintknot/policy/usage_account.hpp>
#include <mintknot/relay/dialect.hpp>
#include <mintknot/relay/router_state.hpp>
#include <mintknot/state/replica.hpp>
#include <mintknot/state/store.hpp>

#include <absl/status/status.h>
#include <absl/status/statusor.h>

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace mintknot::runtime {

/// Settings of an instance, in the product's own words.
struct instance_settings {
    std::string name;
    std::string data_centre;
    base::address entry;
    base::address readiness;
    std::optional<base::address> metrics;
    /// For heartbeats and snapshots; all instances use the same port.
    base::address peer;
    std::vector<std::string> seed_hosts;
    double processor_share = 1.0; ///< Of a core, that this instance may use.
    /// All instances start, and no request comes for some seconds.
    bool first_start = false;
    /// See policy/super_peers.hpp; tests use smaller groups.
    std::size_t max_flat_group = policy::max_flat_group;
    base::milliseconds grace{8000}; ///< From SIGTERM until it must be gone.
    policy::retry_bounds retry_bounds;
    policy::usage_bounds usage_bounds; ///< Of organisations.
    /// Within which a server that says that it leaves gets no new request.
    base::milliseconds drain_bound{2000};
    /// Within which a change of the configuration, or the closing of a data
    /// centre, is obeyed everywhere. Keys that are taken away may have longer.
    base::milliseconds configuration_bound{2000};
    /// How long another holder of orders must wait after the last one.
    base::milliseconds order_lease{3000};
    /// Schedulers place requests whatever the size of the group; else only in
    /// a large one.
    bool always_schedule = false;
    relay::relay_options relay;
};

/// What the outside world is reached through. Everything outlives the
/// instance.
struct instance_ports {
    event::loop& loop;
    const relay::dialect& protocol;
    const state::document_codec& codec;
    state::store& store;
    /// Reads the settings again.
    std::function<absl::StatusOr<instance_settings>()> reload;
};

/// Serves until SIGTERM or SIGINT: then it is not ready any more, finishes
/// what it has begun, and stops the loop before its grace is over. SIGHUP, or
/// a change of the settings, makes it read them again; what has become wrong
/// leaves in force what was.
class instance {
public:
    instance(instance_settings settings, instance_ports ports);
    ~instance();
    instance(const instance&) = delete;
    instance& operator=(const instance&) = delete;

    /// @return Unavailable if an address cannot be bound.
    absl::Status start();

private:
    struct impl;
    std::unique_ptr<impl> impl_;
};

} // namespace mintknot::runtime

#endif
