#include "row_views.hpp"

#include <mintknot/base/json_parser.hpp>
#include <mintknot/base/json_reader.hpp>

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
    json server = base::parse_json_or_discard(text);
    const auto found =
        view.find(base::field_or<std::string>(server, "address", {}));
    if (found == view.end())
        return row;
    server["address"] = *found;
    row["value"] = absl::Base64Escape(base::to_text(server));
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
