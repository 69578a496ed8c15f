#include <mintknot/control/cluster_view.hpp>

#include <mintknot/base/rendezvous.hpp>

#include <algorithm>

namespace mintknot::control {

namespace {

std::string chosen_for(
    const cluster_view& view, const std::string& job,
    const std::string& data_centre) {
    return base::rendezvous(job, cluster::ready_names(view.live, data_centre));
}

std::string own_name(const cluster_view& view) {
    return view.self.data_centre + "." + view.self.name;
}

} // namespace

std::optional<cluster::member> scheduler_of(
    const cluster_view& view, const std::string& service,
    const std::string& data_centre) {
    const std::string name =
        chosen_for(view, "scheduler/" + service, data_centre);
    const auto position = std::find_if(
        view.live.begin(), view.live.end(), [&](const cluster::member& item) {
            return cluster::name_of(item) == name;
        });
    if (position == view.live.end())
        return std::nullopt;
    return *position;
}

bool watches(
    const cluster_view& view, const std::string& engine,
    const std::string& data_centre) {
    return chosen_for(view, "watcher/" + engine, data_centre) == own_name(view);
}

bool does_job(const cluster_view& view, const std::string& job) {
    return chosen_for(view, job, view.self.data_centre) == own_name(view);
}

std::optional<cluster::member>
find_live(const cluster_view& view, const base::instance_id& id) {
    const auto position = std::find_if(
        view.live.begin(), view.live.end(),
        [&](const cluster::member& item) { return item.id == id; });
    if (position == view.live.end())
        return std::nullopt;
    return *position;
}

} // namespace mintknot::control
