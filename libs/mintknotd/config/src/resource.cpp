#include <mintknot/config/resource.hpp>

#include <mintknot/base/json_reader.hpp>

namespace mintknot::config {

std::string_view to_string(resource_kind kind) noexcept {
    switch (kind) {
    case resource_kind::service:
        return "service";
    case resource_kind::pool:
        return "pool";
    case resource_kind::backend_server:
        return "backend_server";
    case resource_kind::request_class:
        return "request_class";
    case resource_kind::organisation:
        return "organisation";
    case resource_kind::planned_change:
        return "planned_change";
    }
    return "unknown";
}

std::optional<resource_kind> parse_kind(std::string_view text) noexcept {
    for (const resource_kind kind : all_kinds)
        if (to_string(kind) == text)
            return kind;
    return std::nullopt;
}

nlohmann::json to_json(const resource& value) {
    return {
        {"kind", to_string(value.kind)},
        {"name", value.name},
        {"revision", value.revision},
        {"spec", value.spec}};
}

std::optional<resource> resource_from_json(const nlohmann::json& document) {
    using base::field_or;
    const auto kind = parse_kind(field_or(document, "kind", std::string()));
    if (!kind)
        return std::nullopt;
    return resource{
        *kind, field_or(document, "name", std::string()),
        field_or(document, "revision", std::uint64_t{0}),
        field_or(document, "spec", nlohmann::json())};
}

} // namespace mintknot::config
