/// @file
/// The maps behind a catalogue, and how changes are applied to them.
#ifndef MINTKNOT_CONFIG_CATALOGUE_EDITOR_HPP
#define MINTKNOT_CONFIG_CATALOGUE_EDITOR_HPP

#include <mintknot/config/catalogue.hpp>

#include <memory>
#include <string>
#include <unordered_map>

namespace mintknot::config {

/// One shared map for each kind, with the indexes that requests use.
struct catalogue::kinds {
    template<class Spec>
    using shared_map = std::shared_ptr<const entry_map<Spec>>;

    shared_map<service_spec> services =
        std::make_shared<entry_map<service_spec>>();
    shared_map<pool_spec> pools = std::make_shared<entry_map<pool_spec>>();
    shared_map<backend_server_spec> servers =
        std::make_shared<entry_map<backend_server_spec>>();
    shared_map<request_class_spec> classes =
        std::make_shared<entry_map<request_class_spec>>();
    shared_map<organisation_spec> organisations =
        std::make_shared<entry_map<organisation_spec>>();
    shared_map<planned_change_spec> changes =
        std::make_shared<entry_map<planned_change_spec>>();
    std::shared_ptr<
        const std::unordered_map<std::string, entry_ptr<organisation_spec>>>
        digests = std::make_shared<
            std::unordered_map<std::string, entry_ptr<organisation_spec>>>();
};

/// Copies a kind's map, changes it in place and shares the copy.
template<class Spec> class map_editor {
public:
    using parser = absl::StatusOr<Spec> (*)(const nlohmann::json&);

    map_editor(std::shared_ptr<const entry_map<Spec>>& shared, parser parse)
        : shared_(shared)
        , parse_(parse) {}

    void apply(const change& next) {
        if (!copy_)
            copy_ = std::make_shared<entry_map<Spec>>(*shared_);
        const auto current = copy_->find(next.name);
        // A start-up scan may have seen a later state of this resource.
        if (current != copy_->end() &&
            current->second->revision >= next.revision)
            return;
        if (next.erased) {
            copy_->erase(next.name);
            return;
        }
        auto spec = parse_(next.spec);
        if (!spec.ok())
            return;
        (*copy_)[next.name] = std::make_shared<const entry<Spec>>(
            entry<Spec>{next.name, next.revision, *std::move(spec), next.spec});
    }

    ~map_editor() {
        if (copy_)
            shared_ = std::move(copy_);
    }
    map_editor(const map_editor&) = delete;
    map_editor& operator=(const map_editor&) = delete;

private:
    std::shared_ptr<const entry_map<Spec>>& shared_;
    parser parse_;
    std::shared_ptr<entry_map<Spec>> copy_;
};

/// Changes of all kinds; what was changed takes effect when it goes.
class catalogue::kinds_editor {
public:
    explicit kinds_editor(kinds& target)
        : services_(target.services, parse_service)
        , pools_(target.pools, parse_pool)
        , servers_(target.servers, parse_backend_server)
        , classes_(target.classes, parse_request_class)
        , organisations_(target.organisations, parse_organisation)
        , planned_(target.changes, parse_planned_change) {}

    void apply(const change& item) {
        switch (item.kind) {
        case resource_kind::service:
            services_.apply(item);
            return;
        case resource_kind::pool:
            pools_.apply(item);
            return;
        case resource_kind::backend_server:
            servers_.apply(item);
            return;
        case resource_kind::request_class:
            classes_.apply(item);
            return;
        case resource_kind::organisation:
            organisations_.apply(item);
            return;
        case resource_kind::planned_change:
            planned_.apply(item);
            return;
        }
    }

private:
    map_editor<service_spec> services_;
    map_editor<pool_spec> pools_;
    map_editor<backend_server_spec> servers_;
    map_editor<request_class_spec> classes_;
    map_editor<organisation_spec> organisations_;
    map_editor<planned_change_spec> planned_;
};

} // namespace mintknot::config

#endif
