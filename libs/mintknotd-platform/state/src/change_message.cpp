#include <mintknot/state/change_message.hpp>

#include "document_json.hpp"

#include <mintknot/base/datagram.hpp>
#include <mintknot/base/json_reader.hpp>

#include <absl/strings/numbers.h>
#include <absl/strings/str_split.h>
#include <absl/strings/strip.h>
#include <fmt/format.h>

#include <algorithm>
#include <utility>
#include <vector>

namespace mintknot::state {

namespace {

constexpr std::string_view path = "/mintknot/v1/changes/";
constexpr std::uint64_t longest_wait_ms = 10000;
/// Milliseconds from the request's arrival to when the answer was confirmed;
/// mostly negative where it was not held.
constexpr const char* confirmed_field = "confirmed_ms";

std::optional<collection> collection_from(std::string_view name) {
    for (const collection what :
         {collection::configuration, collection::servers})
        if (name == to_string(what))
            return what;
    return std::nullopt;
}

/// Reads one "name=number" of the query. @return false if it is unknown.
bool read_parameter(std::string_view text, change_request& value) {
    const std::pair<std::string, std::string> parts = absl::StrSplit(
        absl::string_view(text.data(), text.size()), absl::MaxSplits('=', 1));
    std::uint64_t number = 0;
    if (!absl::SimpleAtoi(parts.second, &number))
        return false;
    if (parts.first == "after")
        value.after = number;
    else if (parts.first == "wait_ms")
        value.wait = base::milliseconds(std::min(number, longest_wait_ms));
    else
        return false;
    return true;
}

} // namespace

std::string to_target(const change_request& value) {
    return fmt::format(
        "{}{}?after={}&wait_ms={}", path, to_string(value.what), value.after,
        value.wait.count());
}

std::optional<change_request> change_request_from(std::string_view target) {
    if (!target.starts_with(path))
        return std::nullopt;
    target.remove_prefix(path.size());
    const std::size_t mark = target.find('?');
    if (mark == std::string_view::npos)
        return std::nullopt;
    const auto what = collection_from(target.substr(0, mark));
    if (!what)
        return std::nullopt;
    change_request value;
    value.what = *what;
    target.remove_prefix(mark + 1);
    for (const absl::string_view item :
         absl::StrSplit(absl::string_view(target.data(), target.size()), '&'))
        if (!read_parameter(std::string_view(item.data(), item.size()), value))
            return std::nullopt;
    return value;
}

std::string to_body(const store_answer& value, base::steady_time asked) {
    nlohmann::json rows = nlohmann::json::array();
    nlohmann::json closures = nlohmann::json::array();
    for (const document& entry : value.documents)
        (entry.kind == document_kind::closure ? closures : rows)
            .push_back(to_json(entry));
    nlohmann::json body = {
        {"version", value.version}, {"documents", std::move(rows)}};
    if (!closures.empty())
        body[closures_field] = std::move(closures);
    if (value.confirmed)
        body[confirmed_field] =
            std::chrono::floor<base::milliseconds>(*value.confirmed - asked)
                .count();
    return base::encode_datagram(body);
}

absl::StatusOr<store_answer>
store_answer_from(std::string_view body, base::steady_time asked) {
    const nlohmann::json parsed =
        base::parse_message_pack(body).value_or(nlohmann::json());
    if (!parsed.is_object() || !parsed.contains("documents"))
        return absl::InvalidArgumentError("the documents are missing");
    auto documents = documents_from(parsed["documents"]);
    store_answer value;
    value.version = base::field_or<std::uint64_t>(parsed, "version", 0);
    if (!documents || value.version == 0)
        return absl::InvalidArgumentError("a document is malformed");
    value.result = store_result::ok;
    value.documents = std::move(*documents);
    if (parsed.contains(closures_field)) {
        auto closures = closures_from(parsed[closures_field]);
        if (!closures)
            return absl::InvalidArgumentError("a closure is malformed");
        for (document& closure : *closures)
            value.documents.push_back(std::move(closure));
    }
    if (parsed.contains(confirmed_field) &&
        parsed[confirmed_field].is_number_integer())
        value.confirmed = asked + base::time_from(parsed[confirmed_field]);
    return value;
}

} // namespace mintknot::state
