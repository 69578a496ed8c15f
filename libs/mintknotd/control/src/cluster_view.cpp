#include <mintknot/control/cluster_view.hpp>

#include <mintknot/base/rendezvous.hpp>

#include <algorithm>

namespace mintknot::control {

namespace {

std::string chosen_for(
    const std::vector<cluster::member>& live, const std::string& job,
    const std::string& data_centre) {
    return base::rendezvous(job, cluster::ready_names(live, data_centre));
}

std::string own_name(const cluster_view& view) {
    return view.self.data_centre + "." + view.self.name;
}

} // namespace

std::optional<cluster::member> scheduler_of(
    const cluster_view& view, const std::string& service,
    const std::string& data_centre,
    const std::vector<base::instance_id>& passed_over) {
    std::vector<cluster::member> asked = view.live;
    std::erase_if(asked, [&](const cluster::member& item) {
        return std::find(passed_over.begin(), passed_over.end(), item.id) !=
               passed_over.end();
    });
    const std::string name =
        chosen_for(asked, "scheduler/" + service, data_centre);
    const auto position = std::find_if(
        asked.begin(), asked.end(), [&](const cluster::member& item) {
            return cluster::name_of(item) == name;
        });
    if (position == asked.end())
        return std::nullopt;
    return *position;
}

bool watches(
    const cluster_view& view, const std::string& engine,
    const std::string& data_centre) {
    return chosen_for(view.live, "watcher/" + engine, data_centre) ==
           own_name(view);
}

bool does_job(const cluster_view& view, const std::string& job) {
    return chosen_for(view.live, job, view.self.data_centre) == own_name(view);
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
