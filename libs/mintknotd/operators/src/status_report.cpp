#include "status_report.hpp"

#include <fmt/format.h>

namespace mintknot::operators {

namespace {

using nlohmann::json;
using std::chrono::duration_cast;

std::string_view to_string(cluster::member_state state) {
    switch (state) {
    case cluster::member_state::starting:
        return "starting";
    case cluster::member_state::ready:
        return "ready";
    case cluster::member_state::leaving:
        return "leaving";
    }
    return "starting";
}

std::string_view to_string(supervise::child_state state) {
    switch (state) {
    case supervise::child_state::running:
        return "running";
    case supervise::child_state::waiting:
        return "waiting for its restart";
    case supervise::child_state::hung:
        return "hung";
    case supervise::child_state::given_up:
        return "given up";
    }
    return "given up";
}

json instances_of(const control::cluster_view& view, base::steady_time now) {
    json list = json::array();
    for (const cluster::member& item : view.live)
        list.push_back(
            {{"data_centre", item.id.data_centre},
             {"name", item.id.name},
             {"id", base::to_string(item.id)},
             {"state", to_string(item.state)},
             {"applied_revision", item.applied_revision},
             {"silent_ms",
              duration_cast<base::milliseconds>(now - item.last_heard)
                  .count()}});
    return list;
}

json engines_of(
    const control::cluster_view& view, const config::catalogue& current,
    base::steady_time now) {
    json list = json::array();
    for (const auto& [name, server] : current.backend_servers()) {
        json item{
            {"name", name},
            {"pool", server->spec.pool},
            {"data_centre", server->spec.data_centre},
            {"address", base::to_string(server->spec.where)},
            {"leaving", server->spec.leaving}};
        const auto load = view.loads.find(name);
        if (load != view.loads.end()) {
            item["reachable"] = load->second.reachable;
            item["leaving"] = server->spec.leaving || load->second.leaving;
            item["kv_used"] = load->second.kv_used;
            item["kv_capacity"] = load->second.kv_capacity;
            item["running"] = load->second.running;
            item["queued_prefill"] = load->second.queued_prefill;
            item["age_ms"] =
                duration_cast<base::milliseconds>(now - load->second.read_at)
                    .count();
        }
        list.push_back(std::move(item));
    }
    return list;
}

json schedulers_of(
    const control::cluster_view& view, const config::catalogue& current) {
    json list = json::array();
    for (const auto& [name, service] : current.services()) {
        const auto scheduler =
            control::scheduler_of(view, name, view.self.data_centre);
        list.push_back(
            {{"service", name},
             {"data_centre", view.self.data_centre},
             {"instance",
              scheduler ? json(cluster::name_of(*scheduler)) : json()}});
    }
    return list;
}

} // namespace

json status_report(const operator_parts& parts) {
    const auto now = base::steady_clock::now();
    const auto view = parts.control.view();
    const auto current = parts.feed.current();
    const readiness ready = parts.is_ready();
    json children = json::array();
    for (const supervise::child_status& child : parts.parts_status())
        children.push_back(
            {{"name", child.name},
             {"state", to_string(child.state)},
             {"restarts", child.restarts},
             {"last_error", child.last_error}});
    return {
        {"instance", base::to_string(view->self)},
        {"ready", ready.ready},
        {"ready_because", ready.sentence},
        {"config_revision", current->revision()},
        {"instances", instances_of(*view, now)},
        {"engines", engines_of(*view, *current, now)},
        {"schedulers", schedulers_of(*view, *current)},
        {"parts", children}};
}

} // namespace mintknot::operators
