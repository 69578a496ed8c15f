#include <mintknot/config/change.hpp>

#include <mintknot/base/json_reader.hpp>

namespace mintknot::config {

nlohmann::json to_json(const change& value) {
    nlohmann::json document{
        {"revision", value.revision}, {"change_id", value.change_id},
        {"author", value.author},     {"kind", to_string(value.kind)},
        {"name", value.name},         {"erased", value.erased}};
    if (!value.erased)
        document["spec"] = value.spec;
    return document;
}

std::optional<change> change_from_json(const nlohmann::json& document) {
    using base::field_or;
    const auto kind = parse_kind(field_or(document, "kind", std::string()));
    change result;
    result.revision = field_or(document, "revision", std::uint64_t{0});
    if (!kind || result.revision == 0)
        return std::nullopt;
    result.kind = *kind;
    result.change_id = field_or(document, "change_id", std::string());
    result.author = field_or(document, "author", std::string());
    result.name = field_or(document, "name", std::string());
    result.erased = field_or(document, "erased", false);
    result.spec = field_or(document, "spec", nlohmann::json());
    return result;
}

} // namespace mintknot::config
