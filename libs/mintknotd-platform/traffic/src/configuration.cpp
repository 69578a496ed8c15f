#include <mintknot/traffic/configuration.hpp>

#include <absl/strings/ascii.h>

#include <algorithm>
#include <set>

namespace mintknot::traffic {

namespace {

std::string place_of(std::string_view host, std::string_view prefix) {
    std::string place = absl::AsciiStrToLower({host.data(), host.size()});
    place += '\n';
    place += prefix;
    return place;
}

std::string_view without_port(std::string_view host) {
    const std::size_t colon = host.rfind(':');
    const bool has_port = colon != std::string_view::npos &&
                          host.find_first_not_of("0123456789", colon + 1) ==
                              std::string_view::npos;
    return has_port ? host.substr(0, colon) : host;
}

/// @return the priorities that streams of the service may have.
std::set<int>
priorities_of(const configuration& value, const std::string& service) {
    std::set<int> found;
    for (const route& entry : value.routes)
        if (entry.kind == route_kind::streaming &&
            std::any_of(
                entry.services.begin(), entry.services.end(),
                [&service](const weighted_service& part) {
                    return part.name == service;
                }))
            found.insert(entry.priority);
    if (!found.empty() && value.organisations != nullptr)
        found.insert(
            value.organisations->priorities().begin(),
            value.organisations->priorities().end());
    return found;
}

} // namespace

void index(configuration& value) {
    for (auto& [name, entry] : value.services)
        entry.mixed_priorities = priorities_of(value, name).size() > 1;
    value.by_place.clear();
    for (std::size_t i = 0; i < value.routes.size(); ++i) {
        const route& entry = value.routes[i];
        value.by_place.emplace(place_of(entry.host, entry.path_prefix), i);
    }
}

const route* find_route(
    const configuration& value, std::string_view host,
    std::string_view target) {
    const std::string_view name = without_port(host);
    std::string_view path = target.substr(0, target.find('?'));
    while (true) {
        const std::size_t slash = path.rfind('/');
        if (slash == std::string_view::npos)
            return nullptr;
        path = path.substr(0, slash + 1);
        const auto found = value.by_place.find(place_of(name, path));
        if (found != value.by_place.end())
            return &value.routes[found->second];
        path.remove_suffix(1);
    }
}

const std::string& choose_service(const route& value, double draw) {
    double total = 0.0;
    for (const weighted_service& entry : value.services)
        total += entry.weight;
    double rest = draw * total;
    for (const weighted_service& entry : value.services) {
        rest -= entry.weight;
        if (rest < 0.0)
            return entry.name;
    }
    return value.services.back().name;
}

} // namespace mintknot::traffic
