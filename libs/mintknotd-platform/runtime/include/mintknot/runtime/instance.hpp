/// @file
/// One instance of the router on the event loop.
#ifndef MINTKNOT_RUNTIME_INSTANCE_HPP
#define MINTKNOT_RUNTIME_INSTANCE_HPP

#include <mintknot/base/address.hpp>
#include <mintknot/build/info.hpp>
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

/// Settings of an instance.
struct instance_settings {
    build::info build; ///< Of the program that runs.
    std::string name;
    std::string data_centre;
    base::address entry;
    base::address readiness;
    std::optional<base::address> metrics;
    /// For heartbeats and snapshots; all instances use the same port.
    base::address peer;
    std::vector<std::string> seed_hosts;
    double processor_share = 1.0; ///< Of one core, for this instance.
    /// All instances start together, and no request arrives for some seconds.
    bool first_start = false;
    /// See policy/super_peers.hpp; tests use smaller groups.
    std::size_t max_flat_group = policy::max_flat_group;
    base::milliseconds grace{8000}; ///< From SIGTERM to the end of the process.
    policy::retry_bounds retry_bounds;
    policy::usage_bounds usage_bounds; ///< Of organisations.
    /// Time after which a server that has announced that it leaves must receive
    /// no new requests.
    base::milliseconds drain_bound{2000};
    /// Time within which all instances must apply a change of the configuration
    /// or the closing of a data centre. Revoked keys may have a longer bound.
    base::milliseconds configuration_bound{2000};
    /// Length of the lease for phase orders: how long another holder must wait
    /// after the last order.
    base::milliseconds order_lease{3000};
    /// Schedulers place requests in groups of any size, not only in large ones.
    bool always_schedule = false;
    relay::relay_options relay;
};

/// Dependencies of an instance. They must outlive it.
struct instance_ports {
    event::loop& loop;
    const relay::dialect& protocol;
    const state::document_codec& codec;
    state::store& store;
    /// Reads the settings again.
    std::function<absl::StatusOr<instance_settings>()> reload;
};

/// Serves until SIGTERM or SIGINT. It then reports that it is not ready,
/// completes open requests and stops the loop before the grace period ends. On
/// SIGHUP, or if the settings have changed, it reads them again; if they cannot
/// be read, the old ones remain in force.
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
