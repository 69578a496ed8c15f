#include "row_views.hpp"

#include <absl/strings/escaping.h>

#include <fstream>
#include <utility>

namespace mintknot::soak {

using nlohmann::json;

namespace {

constexpr const char* servers_table = "servers";

/// @return the row with the address that the view shows.
json shown(json row, const json& view) {
    std::string text;
    if (row.value("table", "") != servers_table || !row.contains("value") ||
        !absl::Base64Unescape(row["value"].get<std::string>(), &text))
        return row;
    json server = json::parse(text, nullptr, false);
    if (!server.is_object() || !server.contains("address"))
        return row;
    const auto found = view.find(server["address"].get<std::string>());
    if (found == view.end())
        return row;
    server["address"] = *found;
    row["value"] = absl::Base64Escape(server.dump());
    return row;
}

} // namespace

row_views::row_views(std::string file)
    : file_(std::move(file)) {}

void row_views::load() {
    std::ifstream in(file_);
    if (in)
        views_ = json::parse(in, nullptr, false);
}

json row_views::apply(const std::string& reader, json answer) {
    if (views_.is_null() && !file_.empty())
        load();
    const auto view = views_.find(reader);
    if (view == views_.end() || !answer.contains("rows"))
        return answer;
    for (json& row : answer["rows"])
        row = shown(std::move(row), *view);
    return answer;
}

} // namespace mintknot::soak
