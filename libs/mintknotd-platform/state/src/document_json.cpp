#include "document_json.hpp"

#include <mintknot/base/json_reader.hpp>

namespace mintknot::state {

namespace {

std::optional<document> document_from(const nlohmann::json& row) {
    document value;
    value.key = base::field_or<std::string>(row, "key", {});
    value.version = base::field_or<std::uint64_t>(row, "version", 0);
    if (value.key.empty() || value.version == 0)
        return std::nullopt;
    if (row.contains("text")) {
        if (!row["text"].is_string())
            return std::nullopt;
        value.text = row["text"].get<std::string>();
    }
    return value;
}

} // namespace

nlohmann::json to_json(const document& value) {
    nlohmann::json row = {{"key", value.key}, {"version", value.version}};
    if (value.text)
        row["text"] = *value.text;
    return row;
}

std::optional<std::vector<document>>
documents_from(const nlohmann::json& rows) {
    std::vector<document> result;
    if (!rows.is_array())
        return std::nullopt;
    for (const nlohmann::json& row : rows) {
        std::optional<document> value = document_from(row);
        if (!value)
            return std::nullopt;
        result.push_back(std::move(*value));
    }
    return result;
}

std::optional<std::vector<document>> closures_from(const nlohmann::json& rows) {
    auto closures = documents_from(rows);
    if (closures)
        for (document& closure : *closures)
            closure.kind = document_kind::closure;
    return closures;
}

} // namespace mintknot::state
