#include <mintknot/config/catalogue.hpp>

#include "catalogue_editor.hpp"

#include <fmt/format.h>

#include <algorithm>

namespace mintknot::config {

namespace {

template<class Spec>
entry_ptr<Spec> find(const entry_map<Spec>& map, std::string_view name) {
    const auto position = map.find(name);
    return position == map.end() ? nullptr : position->second;
}

template<class Spec>
resource as_resource(resource_kind kind, const entry<Spec>& item) {
    return {kind, item.name, item.revision, item.document};
}

template<class Spec>
std::vector<resource>
as_resources(resource_kind kind, const entry_map<Spec>& map) {
    std::vector<resource> result;
    result.reserve(map.size());
    for (const auto& [name, item] : map)
        result.push_back(as_resource(kind, *item));
    return result;
}

template<class Spec>
resource get_from(
    resource_kind kind, const entry_map<Spec>& map, std::string_view name) {
    const auto item = find(map, name);
    if (!item)
        return {kind, std::string(name), 0, {}};
    return as_resource(kind, *item);
}

auto index_digests(const entry_map<organisation_spec>& organisations) {
    auto digests = std::make_shared<
        std::unordered_map<std::string, entry_ptr<organisation_spec>>>();
    for (const auto& [name, item] : organisations)
        for (const std::string& digest : item->spec.key_digests)
            digests->emplace(digest, item);
    return digests;
}

} // namespace

catalogue::catalogue()
    : kinds_(std::make_shared<kinds>()) {}

catalogue catalogue::with(const std::vector<change>& changes) const {
    auto next = std::make_shared<kinds>(*kinds_);
    catalogue result;
    result.revision_ = revision_;
    {
        kinds_editor editor(*next);
        for (const change& item : changes) {
            if (item.revision <= result.revision_)
                continue;
            result.revision_ = item.revision;
            editor.apply(item);
        }
    }
    if (next->organisations != kinds_->organisations)
        next->digests = index_digests(*next->organisations);
    result.kinds_ = std::move(next);
    return result;
}

catalogue catalogue::from(
    const std::vector<resource>& resources, std::uint64_t revision) {
    std::vector<change> changes;
    changes.reserve(resources.size());
    for (const resource& item : resources)
        changes.push_back(
            {item.revision, {}, {}, item.kind, item.name, false, item.spec});
    // Revisions are unique, and with() takes changes in their order.
    std::sort(
        changes.begin(), changes.end(), [](const change& a, const change& b) {
            return a.revision < b.revision;
        });
    catalogue result = catalogue().with(changes);
    result.revision_ = revision;
    return result;
}

entry_ptr<service_spec> catalogue::service(std::string_view name) const {
    return find(*kinds_->services, name);
}

entry_ptr<service_spec>
catalogue::service_for_model(std::string_view model) const {
    for (const auto& [name, item] : *kinds_->services)
        if (item->spec.type == service_type::model && item->spec.model == model)
            return item;
    return nullptr;
}

entry_ptr<pool_spec> catalogue::pool(std::string_view name) const {
    return find(*kinds_->pools, name);
}

entry_ptr<request_class_spec>
catalogue::request_class(std::string_view name) const {
    return find(*kinds_->classes, name);
}

entry_ptr<organisation_spec>
catalogue::organisation_for_digest(const std::string& key_digest) const {
    const auto position = kinds_->digests->find(key_digest);
    return position == kinds_->digests->end() ? nullptr : position->second;
}

const entry_map<backend_server_spec>& catalogue::backend_servers() const {
    return *kinds_->servers;
}

const entry_map<service_spec>& catalogue::services() const {
    return *kinds_->services;
}

std::set<std::string> catalogue::data_centres() const {
    std::set<std::string> found;
    for (const auto& [name, item] : *kinds_->servers)
        found.insert(item->spec.data_centre);
    return found;
}

std::vector<resource> catalogue::list(resource_kind kind) const {
    switch (kind) {
    case resource_kind::service:
        return as_resources(kind, *kinds_->services);
    case resource_kind::pool:
        return as_resources(kind, *kinds_->pools);
    case resource_kind::backend_server:
        return as_resources(kind, *kinds_->servers);
    case resource_kind::request_class:
        return as_resources(kind, *kinds_->classes);
    case resource_kind::organisation:
        return as_resources(kind, *kinds_->organisations);
    case resource_kind::planned_change:
        return as_resources(kind, *kinds_->changes);
    }
    return {};
}

resource catalogue::get(resource_kind kind, std::string_view name) const {
    switch (kind) {
    case resource_kind::service:
        return get_from(kind, *kinds_->services, name);
    case resource_kind::pool:
        return get_from(kind, *kinds_->pools, name);
    case resource_kind::backend_server:
        return get_from(kind, *kinds_->servers, name);
    case resource_kind::request_class:
        return get_from(kind, *kinds_->classes, name);
    case resource_kind::organisation:
        return get_from(kind, *kinds_->organisations, name);
    case resource_kind::planned_change:
        return get_from(kind, *kinds_->changes, name);
    }
    return {};
}

std::string catalogue::missing_target(const change& wanted) const {
    std::string wanted_pool;
    if (wanted.kind == resource_kind::pool) {
        const auto spec = parse_pool(wanted.spec);
        if (spec.ok() && !service(spec->service))
            return fmt::format(
                "spec.service: there is no service '{}'", spec->service);
    } else if (wanted.kind == resource_kind::backend_server) {
        const auto spec = parse_backend_server(wanted.spec);
        wanted_pool = spec.ok() ? spec->pool : std::string{};
    } else if (wanted.kind == resource_kind::planned_change) {
        const auto spec = parse_planned_change(wanted.spec);
        wanted_pool = spec.ok() ? spec->pool : std::string{};
    }
    if (!wanted_pool.empty() && !pool(wanted_pool))
        return fmt::format("spec.pool: there is no pool '{}'", wanted_pool);
    return {};
}

std::string catalogue::remaining_reference(const change& wanted) const {
    if (wanted.kind == resource_kind::service)
        for (const auto& [name, item] : *kinds_->pools)
            if (item->spec.service == wanted.name)
                return fmt::format("pool '{}' still refers to it", name);
    if (wanted.kind != resource_kind::pool)
        return {};
    for (const auto& [name, item] : *kinds_->servers)
        if (item->spec.pool == wanted.name)
            return fmt::format("backend_server '{}' still refers to it", name);
    for (const auto& [name, item] : *kinds_->changes)
        if (item->spec.pool == wanted.name)
            return fmt::format("planned_change '{}' still refers to it", name);
    return {};
}

std::string catalogue::broken_reference(const change& wanted) const {
    return wanted.erased ? remaining_reference(wanted) : missing_target(wanted);
}

} // namespace mintknot::config
