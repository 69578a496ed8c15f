#include <mintknot/base/json_reader.hpp>

#include <mintknot/base/request_id.hpp>

#include <absl/strings/str_join.h>
#include <fmt/format.h>

#include <algorithm>

namespace mintknot::base {

namespace {

constexpr std::size_t longest_found = 60;
constexpr std::string_view allowed_name = "1 to 63 letters, digits or '-'";

std::string describe_range(number_range range) {
    if (range.high == std::numeric_limits<std::int64_t>::max())
        return fmt::format("a whole number of at least {}", range.low);
    return fmt::format("a whole number from {} to {}", range.low, range.high);
}

} // namespace

void json_errors::add(
    std::string_view path, std::string_view found, std::string_view allowed) {
    lines.push_back(
        fmt::format("{}: found {}, allowed is {}", path, found, allowed));
}

absl::Status json_errors::status() const {
    if (lines.empty())
        return absl::OkStatus();
    return absl::InvalidArgumentError(absl::StrJoin(lines, "\n"));
}

std::string describe(const nlohmann::json& value) {
    std::string text = to_text(value);
    if (text.size() > longest_found)
        text = text.substr(0, longest_found) + "...";
    return text;
}

json_reader::json_reader(
    const nlohmann::json& document, std::string path, json_errors& errors)
    : document_(document)
    , path_(std::move(path))
    , errors_(errors) {
    if (!document_.is_object())
        errors_.add(
            path_.empty() ? "document" : path_, describe(document_),
            "an object");
}

bool json_reader::has(std::string_view field) const {
    return document_.is_object() && document_.contains(std::string(field));
}

std::string json_reader::required_text(std::string_view field) {
    const auto* value = find_required(field);
    if (value == nullptr)
        return {};
    if (value->is_string() && !value->get_ref<const std::string&>().empty())
        return value->get<std::string>();
    reject(field, describe(*value), "a text that is not empty");
    return {};
}

std::string json_reader::required_name(std::string_view field) {
    const auto* value = find_required(field);
    if (value == nullptr)
        return {};
    if (value->is_string() && is_valid_name(value->get<std::string>()))
        return value->get<std::string>();
    reject(field, describe(*value), allowed_name);
    return {};
}

std::int64_t
json_reader::required_number(std::string_view field, number_range range) {
    if (find_required(field) == nullptr)
        return range.low;
    return number(field, range.low, range);
}

address json_reader::required_address(std::string_view field) {
    const std::string value = required_text(field);
    if (value.empty())
        return {};
    auto parsed = parse_address(value);
    if (parsed.ok())
        return *parsed;
    reject(field, describe(value), "an address such as 127.0.0.1:8080");
    return {};
}

std::string
json_reader::text(std::string_view field, std::string_view fallback) {
    const auto* value = find(field);
    if (value == nullptr)
        return std::string(fallback);
    if (value->is_string())
        return value->get<std::string>();
    reject(field, describe(*value), "a text");
    return std::string(fallback);
}

std::int64_t json_reader::number(
    std::string_view field, std::int64_t fallback, number_range range) {
    const auto* value = find(field);
    if (value == nullptr)
        return fallback;
    // A number beyond the signed range would wrap round when read.
    const bool fits =
        value->is_number_integer() &&
        (!value->is_number_unsigned() ||
         value->get<std::uint64_t>() <= static_cast<std::uint64_t>(range.high));
    if (fits) {
        const auto number = value->get<std::int64_t>();
        if (number >= range.low && number <= range.high)
            return number;
    }
    reject(field, describe(*value), describe_range(range));
    return fallback;
}

double json_reader::real(
    std::string_view field, double fallback, double low, double high) {
    const auto* value = find(field);
    if (value == nullptr)
        return fallback;
    if (value->is_number()) {
        const auto number = value->get<double>();
        if (number >= low && number <= high)
            return number;
    }
    reject(
        field, describe(*value),
        fmt::format("a number from {} to {}", low, high));
    return fallback;
}

bool json_reader::boolean(std::string_view field, bool fallback) {
    const auto* value = find(field);
    if (value == nullptr)
        return fallback;
    if (value->is_boolean())
        return value->get<bool>();
    reject(field, describe(*value), "true or false");
    return fallback;
}

milliseconds json_reader::duration(
    std::string_view field, milliseconds fallback, number_range range) {
    return milliseconds{number(field, fallback.count(), range)};
}

std::vector<std::string> json_reader::texts(std::string_view field) {
    std::vector<std::string> result;
    const auto* value = find(field);
    if (value == nullptr)
        return result;
    const auto is_text = [](const nlohmann::json& item) {
        return item.is_string() && !item.get_ref<const std::string&>().empty();
    };
    if (value->is_array() && std::all_of(value->begin(), value->end(), is_text))
        return value->get<std::vector<std::string>>();
    reject(field, describe(*value), "an array of texts");
    return result;
}

std::string json_reader::choice(
    std::string_view field, std::string_view fallback,
    const std::vector<std::string>& allowed) {
    const auto* value = find(field);
    if (value == nullptr)
        return std::string(fallback);
    if (value->is_string()) {
        auto word = value->get<std::string>();
        if (std::find(allowed.begin(), allowed.end(), word) != allowed.end())
            return word;
    }
    reject(
        field, describe(*value),
        fmt::format("one of {}", absl::StrJoin(allowed, ", ")));
    return std::string(fallback);
}

void json_reader::object(
    std::string_view field, const std::function<void(json_reader&)>& read) {
    const auto* value = find(field);
    if (value == nullptr)
        return;
    json_reader inner(*value, path_of(field), errors_);
    if (!value->is_object())
        return;
    read(inner);
    inner.finish();
}

void json_reader::objects(
    std::string_view field, const std::function<void(json_reader&)>& read) {
    const auto* value = find(field);
    if (value == nullptr)
        return;
    if (!value->is_array()) {
        reject(field, describe(*value), "an array of objects");
        return;
    }
    for (std::size_t i = 0; i < value->size(); ++i) {
        json_reader inner(
            (*value)[i], fmt::format("{}[{}]", path_of(field), i), errors_);
        if (!(*value)[i].is_object())
            continue;
        read(inner);
        inner.finish();
    }
}

void json_reader::reject(
    std::string_view field, std::string_view found, std::string_view allowed) {
    errors_.add(path_of(field), found, allowed);
}

void json_reader::finish() {
    if (!document_.is_object())
        return;
    for (const auto& [key, value] : document_.items()) {
        if (!seen_.contains(key))
            reject(key, "an unknown field", absl::StrJoin(seen_, ", "));
    }
}

const nlohmann::json* json_reader::find(std::string_view field) {
    seen_.insert(std::string(field));
    if (!document_.is_object())
        return nullptr;
    const auto position = document_.find(std::string(field));
    return position == document_.end() ? nullptr : &*position;
}

const nlohmann::json* json_reader::find_required(std::string_view field) {
    const auto* value = find(field);
    if (value == nullptr && document_.is_object())
        reject(field, "nothing", "a value: the field is required");
    return value;
}

std::string json_reader::path_of(std::string_view field) const {
    if (path_.empty())
        return std::string(field);
    return fmt::format("{}.{}", path_, field);
}

} // namespace mintknot::base
