#include <mintknot/cli/resource_file.hpp>

#include <mintknot/base/json_reader.hpp>
#include <mintknot/base/status_text.hpp>
#include <mintknot/config/specs.hpp>

#include <fmt/format.h>

#include <algorithm>
#include <fstream>
#include <sstream>

namespace mintknot::cli {

namespace {

std::vector<std::string> kind_words() {
    std::vector<std::string> words;
    for (const config::resource_kind kind : config::all_kinds)
        words.emplace_back(config::to_string(kind));
    return words;
}

/// Reads one resource; the specs are checked by the caller.
config::resource read_resource(base::json_reader& reader) {
    config::resource result;
    const auto kind =
        config::parse_kind(reader.choice("kind", "", kind_words()));
    if (kind)
        result.kind = *kind;
    else if (!reader.has("kind"))
        reader.reject("kind", "nothing", "a kind: the field is required");
    result.name = reader.required_name("name");
    result.revision = static_cast<std::uint64_t>(reader.number(
        "revision", 0, {0, std::numeric_limits<std::int64_t>::max()}));
    reader.object("spec", [](base::json_reader&) {});
    return result;
}

/// Adds the errors of a spec with the place of its resource in the file.
void check(
    const config::resource& item, std::size_t position,
    base::json_errors& errors) {
    const auto status = config::check_spec(item.kind, item.spec);
    if (status.ok())
        return;
    std::istringstream lines(base::text_of(status));
    for (std::string line; std::getline(lines, line);)
        errors.lines.push_back(fmt::format("resources[{}].{}", position, line));
}

} // namespace

absl::StatusOr<std::vector<config::resource>>
parse_resources(std::string_view text) {
    const auto document = base::parse_json(text);
    if (!document.ok())
        return document.status();
    base::json_errors errors;
    std::vector<config::resource> resources;
    const auto list =
        base::field_or(*document, "resources", nlohmann::json::array());
    if (!document->is_object() || !document->contains("resources") ||
        !list.is_array())
        return absl::InvalidArgumentError(
            "the file must be an object with an array \"resources\"");
    for (std::size_t i = 0; i < list.size(); ++i) {
        base::json_errors own;
        // The spec is checked by its kind, not as a part of this object.
        nlohmann::json outline = list[i];
        if (outline.is_object() && outline.contains("spec"))
            outline["spec"] = nlohmann::json::object();
        base::json_reader reader(outline, fmt::format("resources[{}]", i), own);
        config::resource item = read_resource(reader);
        reader.finish();
        item.spec = base::field_or(list[i], "spec", nlohmann::json::object());
        if (own.lines.empty())
            check(item, i, own);
        errors.lines.insert(
            errors.lines.end(), own.lines.begin(), own.lines.end());
        resources.push_back(std::move(item));
    }
    if (auto status = errors.status(); !status.ok())
        return status;
    std::stable_sort(
        resources.begin(), resources.end(),
        [](const auto& a, const auto& b) { return a.kind < b.kind; });
    return resources;
}

absl::StatusOr<std::vector<config::resource>>
load_resources(const std::string& file) {
    std::ifstream input(file);
    if (!input)
        return absl::NotFoundError(
            fmt::format("the file '{}' cannot be read", file));
    std::ostringstream text;
    text << input.rdbuf();
    return parse_resources(text.str());
}

} // namespace mintknot::cli
