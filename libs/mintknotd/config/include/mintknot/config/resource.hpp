/// @file
/// Resources: what operators create, read, change and delete.
#ifndef MINTKNOT_CONFIG_RESOURCE_HPP
#define MINTKNOT_CONFIG_RESOURCE_HPP

#include <nlohmann/json.hpp>

#include <array>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace mintknot::config {

enum class resource_kind {
    service,
    pool,
    backend_server,
    request_class,
    organisation,
    planned_change,
};

/// All kinds, in the order in which a file of resources is applied: a resource
/// refers only to kinds before its own.
inline constexpr std::array all_kinds{
    resource_kind::service,        resource_kind::pool,
    resource_kind::backend_server, resource_kind::request_class,
    resource_kind::organisation,   resource_kind::planned_change,
};

std::string_view to_string(resource_kind kind) noexcept;
std::optional<resource_kind> parse_kind(std::string_view text) noexcept;

struct resource {
    resource_kind kind = resource_kind::service;
    std::string name;
    std::uint64_t revision = 0; ///< Head revision of its last change.
    nlohmann::json spec;
};

/// @return {"kind", "name", "revision", "spec"}.
nlohmann::json to_json(const resource& value);

/// @return nothing if the document is not a resource of a known kind.
std::optional<resource> resource_from_json(const nlohmann::json& document);

} // namespace mintknot::config

#endif
