/// @file
/// Checked reading of JSON objects, with the path of every wrong field.
#ifndef MINTKNOT_BASE_JSON_READER_HPP
#define MINTKNOT_BASE_JSON_READER_HPP

#include <mintknot/base/address.hpp>
#include <mintknot/base/json_parser.hpp>
#include <mintknot/base/json_values.hpp>
#include <mintknot/base/time.hpp>

#include <absl/status/status.h>
#include <nlohmann/json.hpp>

#include <cstdint>
#include <functional>
#include <limits>
#include <set>
#include <string>
#include <string_view>
#include <type_traits>
#include <vector>

namespace mintknot::base {

/// Collects the errors of a document; shared by the readers of its parts.
struct json_errors {
    std::vector<std::string> lines;

    /// Notes that a field is wrong: path, what was found, what is allowed.
    void
    add(std::string_view path, std::string_view found,
        std::string_view allowed);
    /// @return Ok, or InvalidArgument with one line for each error.
    absl::Status status() const;
};

/// Bounds of a number, both allowed.
struct number_range {
    std::int64_t low = 0;
    std::int64_t high = std::numeric_limits<std::int64_t>::max();
};

/// Reads the fields of one JSON object. Call finish() last: it reports every
/// field that nobody asked for.
///
/// @code
/// json_errors errors;
/// json_reader reader(document, "caller", errors);
/// settings.port = reader.number("port", 0, {1, 65535});
/// reader.finish();
/// @endcode
///
/// Lifetime: document and errors must outlive the reader.
class json_reader {
public:
    json_reader(
        const nlohmann::json& document, std::string path, json_errors& errors);

    bool has(std::string_view field) const;
    /// Required fields: an error is noted if the field is missing.
    std::string required_text(std::string_view field);
    std::string required_name(std::string_view field);
    std::int64_t required_number(std::string_view field, number_range range);
    /// @return the address "host:port" of a required field.
    address required_address(std::string_view field);
    /// Optional fields: the default is used if the field is missing.
    std::string text(std::string_view field, std::string_view fallback);
    std::int64_t
    number(std::string_view field, std::int64_t fallback, number_range range);
    double
    real(std::string_view field, double fallback, double low, double high);
    bool boolean(std::string_view field, bool fallback);
    milliseconds
    duration(std::string_view field, milliseconds fallback, number_range range);
    std::vector<std::string> texts(std::string_view field);
    /// Reads one of the allowed words.
    std::string choice(
        std::string_view field, std::string_view fallback,
        const std::vector<std::string>& allowed);
    /// Calls the function with a reader of the object, if the field is there.
    void object(
        std::string_view field, const std::function<void(json_reader&)>& read);
    /// Calls the function once for each object of an array.
    void objects(
        std::string_view field, const std::function<void(json_reader&)>& read);
    /// Notes an error for a field that the caller itself has checked.
    void reject(
        std::string_view field, std::string_view found,
        std::string_view allowed);
    void finish();

private:
    const nlohmann::json* find(std::string_view field);
    const nlohmann::json* find_required(std::string_view field);
    std::string path_of(std::string_view field) const;

    const nlohmann::json& document_;
    std::string path_;
    json_errors& errors_;
    std::set<std::string, std::less<>> seen_;
};

/// Reads a field of another program's answer, which may be malformed.
/// @return the fallback if the field is missing, of another type or beyond the
/// range of Value.
template<class Value>
Value field_or(
    const nlohmann::json& document, const char* field, Value fallback) {
    if (!document.is_object())
        return fallback;
    const auto position = document.find(field);
    if (position == document.end())
        return fallback;
    try {
        if constexpr (
            std::is_arithmetic_v<Value> && !std::is_same_v<Value, bool>)
            return number_from<Value>(*position);
        else
            return position->template get<Value>();
    } catch (const nlohmann::json::exception&) {
        return fallback;
    }
}

/// @return a short rendering of a JSON value for an error message.
std::string describe(const nlohmann::json& value);

} // namespace mintknot::base

#endif
