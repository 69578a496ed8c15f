#include <mintknot/audit/decision.hpp>

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

} // namespace mintknot::audit
