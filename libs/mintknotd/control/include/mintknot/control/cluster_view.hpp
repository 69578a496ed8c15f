/// @file
/// The picture of the cluster that traffic threads read.
#ifndef MINTKNOT_CONTROL_CLUSTER_VIEW_HPP
#define MINTKNOT_CONTROL_CLUSTER_VIEW_HPP

#include <mintknot/cluster/membership.hpp>

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace mintknot::control {

/// Immutable once it is published.
struct cluster_view {
    base::instance_id self;
    std::vector<cluster::member> live;                 ///< With this instance.
    std::map<std::string, routing::engine_load> loads; ///< By engine.
};

/// @return the instance that schedules a service in a data centre, by the
/// rendezvous hash; nothing if no instance is ready. Instances that did not
/// answer are passed over: who comes next is the same for all who ask.
std::optional<cluster::member> scheduler_of(
    const cluster_view& view, const std::string& service,
    const std::string& data_centre,
    const std::vector<base::instance_id>& passed_over = {});

/// @return whether this instance reads an engine's reports.
bool watches(
    const cluster_view& view, const std::string& engine,
    const std::string& data_centre);

/// @return whether this instance does a job that one in each data centre does.
bool does_job(const cluster_view& view, const std::string& job);

/// @return the live run of that instance, or nothing.
std::optional<cluster::member>
find_live(const cluster_view& view, const base::instance_id& id);

} // namespace mintknot::control

#endif
