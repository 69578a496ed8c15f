#include <mintknot/audit/decision.hpp>

#include <mintknot/base/json_reader.hpp>

#include <algorithm>
#include <array>

namespace mintknot::audit {

namespace {

constexpr std::array kind_names{
    std::string_view("received"),     std::string_view("placement"),
    std::string_view("queued"),       std::string_view("refusal"),
    std::string_view("reuse"),        std::string_view("give_up"),
    std::string_view("retry"),        std::string_view("cancel"),
    std::string_view("resume"),       std::string_view("claim"),
    std::string_view("finish"),       std::string_view("order"),
    std::string_view("config_change")};

decision_kind kind_from(const std::string& name) {
    const auto position = std::find(kind_names.begin(), kind_names.end(), name);
    if (position == kind_names.end())
        return decision_kind::placement;
    return static_cast<decision_kind>(position - kind_names.begin());
}

} // namespace

std::string_view to_string(decision_kind kind) noexcept {
    return kind_names.at(static_cast<std::size_t>(kind));
}

nlohmann::json to_json(const decision& value) {
    nlohmann::json document{
        {"time_ms", value.when.time_since_epoch().count()},
        {"request", value.request},
        {"kind", to_string(value.kind)},
        {"reason", base::to_string(value.code)},
        {"sentence", value.sentence},
        {"choice", value.choice},
        {"config_revision", value.config_revision},
        {"candidates", nlohmann::json::array()},
        {"inputs", nlohmann::json::array()}};
    for (const candidate& option : value.candidates)
        document["candidates"].push_back(
            {{"name", option.name},
             {"score", option.score},
             {"note", option.note}});
    for (const input& figure : value.inputs)
        document["inputs"].push_back(
            {{"name", figure.name},
             {"value", figure.value},
             {"age_ms", figure.age.count()}});
    return document;
}

decision decision_from_json(const std::string& text) {
    using base::field_or;
    using nlohmann::json;
    const json document = base::parse_json_or_discard(text);
    decision value;
    value.when = base::wall_time(
        base::milliseconds{field_or(document, "time_ms", std::int64_t{0})});
    value.request = field_or(document, "request", std::string());
    value.kind = kind_from(field_or(document, "kind", std::string()));
    value.code =
        base::parse_reason(field_or(document, "reason", std::string()));
    value.sentence = field_or(document, "sentence", std::string());
    value.choice = field_or(document, "choice", std::string());
    value.config_revision =
        field_or(document, "config_revision", std::uint64_t{0});
    for (const json& item : field_or(document, "candidates", json::array()))
        value.candidates.push_back(
            {field_or(item, "name", std::string()),
             field_or(item, "score", 0.0),
             field_or(item, "note", std::string())});
    for (const json& item : field_or(document, "inputs", json::array()))
        value.inputs.push_back(
            {field_or(item, "name", std::string()),
             field_or(item, "value", std::string()),
             base::milliseconds{field_or(item, "age_ms", std::int64_t{0})}});
    return value;
}

} // namespace mintknot::audit
