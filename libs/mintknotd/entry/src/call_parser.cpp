#include <mintknot/entry/call_parser.hpp>

#include <mintknot/base/json_reader.hpp>
#include <mintknot/base/sha256.hpp>
#include <mintknot/base/status_text.hpp>

#include <fmt/format.h>

#include <algorithm>
#include <charconv>

namespace mintknot::entry {

namespace {

using base::reason;
using base::refusal;

constexpr std::string_view bearer = "Bearer ";
constexpr std::size_t longest_idempotency_key = 256;
constexpr std::int64_t longest_deadline_ms = 3'600'000;
constexpr std::int64_t most_max_tokens = 1'000'000;
constexpr std::int64_t default_max_tokens = 16;

refusal not_run(reason code, std::string sentence) {
    return {code, std::move(sentence), base::verdict::not_run};
}

/// @return nothing if the text is not a whole number in the range.
std::optional<std::int64_t>
parse_number(std::string_view text, std::int64_t low, std::int64_t high) {
    std::int64_t number = 0;
    const char* last = text.data() + text.size();
    const auto [end, error] = std::from_chars(text.data(), last, number);
    if (error != std::errc{} || end != last || number < low || number > high)
        return std::nullopt;
    return number;
}

/// Reads the prompt: a text, or an array with one text.
std::string read_prompt(base::json_reader& reader, const nlohmann::json& body) {
    const auto position = body.find("prompt");
    const bool in_array = position != body.end() && position->is_array() &&
                          position->size() == 1 &&
                          position->front().is_string();
    if (!in_array)
        return reader.required_text("prompt");
    auto prompt = position->front().get<std::string>();
    if (prompt.empty())
        reader.reject("prompt", "[\"\"]", "a text that is not empty");
    return prompt;
}

/// Finds the organisation behind the key.
std::optional<base::refusal> read_key(
    const config::catalogue& current, const caller_headers& headers,
    caller_identity& caller) {
    if (!headers.authorization.starts_with(bearer))
        return not_run(
            reason::missing_key,
            "the header 'Authorization: Bearer KEY' is needed");
    const std::string key = headers.authorization.substr(bearer.size());
    caller.organisation =
        current.organisation_for_digest(base::sha256_hex(key));
    if (!caller.organisation)
        return not_run(reason::unknown_key, "the key is not known");
    return std::nullopt;
}

/// Finds the class, and whether the organisation may use it.
std::optional<base::refusal> read_class(
    const config::catalogue& current, const caller_headers& headers,
    caller_identity& caller) {
    caller.class_name = headers.request_class.empty()
                            ? std::string(default_class)
                            : headers.request_class;
    const auto known = current.request_class(caller.class_name);
    if (known)
        caller.request_class = known->spec;
    else if (!headers.request_class.empty())
        return not_run(
            reason::unknown_class,
            fmt::format(
                "X-Request-Class: there is no class '{}'", caller.class_name));
    const auto& allowed = caller.organisation->spec.classes;
    const bool may_use =
        allowed.empty() || headers.request_class.empty() ||
        std::find(allowed.begin(), allowed.end(), caller.class_name) !=
            allowed.end();
    if (may_use)
        return std::nullopt;
    return not_run(
        reason::class_not_allowed,
        fmt::format(
            "organisation '{}' may not use class '{}'",
            caller.organisation->name, caller.class_name));
}

/// Takes the smaller of the class's deadline and the caller's.
std::optional<base::refusal>
read_deadline(const caller_headers& headers, caller_identity& caller) {
    caller.deadline = caller.request_class.deadline;
    if (headers.deadline_ms.empty())
        return std::nullopt;
    const auto deadline =
        parse_number(headers.deadline_ms, 1, longest_deadline_ms);
    if (!deadline)
        return not_run(
            reason::bad_field,
            fmt::format(
                "X-Deadline-Ms: found '{}', allowed is a whole number "
                "from 1 to {}",
                headers.deadline_ms, longest_deadline_ms));
    caller.deadline = std::min(caller.deadline, base::milliseconds{*deadline});
    return std::nullopt;
}

std::optional<base::refusal>
read_idempotency_key(const caller_headers& headers, caller_identity& caller) {
    if (headers.idempotency_key.size() > longest_idempotency_key)
        return not_run(
            reason::bad_field,
            fmt::format(
                "Idempotency-Key: found {} bytes, allowed are {}",
                headers.idempotency_key.size(), longest_idempotency_key));
    caller.idempotency_key = headers.idempotency_key;
    return std::nullopt;
}

} // namespace

base::outcome<caller_identity>
identify(const config::catalogue& current, const caller_headers& headers) {
    caller_identity caller;
    if (auto wrong = read_key(current, headers, caller))
        return *std::move(wrong);
    if (auto wrong = read_class(current, headers, caller))
        return *std::move(wrong);
    if (auto wrong = read_deadline(headers, caller))
        return *std::move(wrong);
    if (auto wrong = read_idempotency_key(headers, caller))
        return *std::move(wrong);
    return caller;
}

base::outcome<completion_call> parse_completion(
    const config::catalogue& current, const caller_identity& caller,
    std::string_view body) {
    const auto document = base::parse_json(body);
    if (!document.ok())
        return not_run(reason::bad_json, base::text_of(document.status()));
    if (!document->is_object())
        return not_run(reason::bad_json, "the body must be a JSON object");

    // Other well-known fields (temperature and the like) are let through
    // unread, so the reader is not asked for unknown fields.
    base::json_errors errors;
    base::json_reader reader(*document, "", errors);
    completion_call call;
    call.model = reader.required_text("model");
    call.prompt = read_prompt(reader, *document);
    call.max_tokens = static_cast<std::uint64_t>(
        reader.number("max_tokens", default_max_tokens, {1, most_max_tokens}));
    call.stream = reader.boolean("stream", false);
    reader.number("n", 1, {1, 1});
    if (const auto status = errors.status(); !status.ok())
        return not_run(reason::bad_field, base::text_of(status));

    const auto service = current.service_for_model(call.model);
    if (!service)
        return not_run(
            reason::unknown_model,
            fmt::format("there is no model '{}'", call.model));
    call.service = service->name;
    call.organisation = caller.organisation->name;
    call.class_name = caller.class_name;
    call.request_class = caller.request_class;
    call.idempotency_key = caller.idempotency_key;
    call.deadline = base::steady_clock::now() + caller.deadline;
    return call;
}

base::outcome<std::uint64_t> parse_offset(std::string_view text) {
    if (text.empty())
        return std::uint64_t{0};
    const auto offset = parse_number(text, 0, most_max_tokens);
    if (!offset)
        return not_run(
            reason::bad_offset,
            fmt::format(
                "Last-Event-ID: found '{}', allowed is a whole number from 0 "
                "to {}",
                text, most_max_tokens));
    return static_cast<std::uint64_t>(*offset);
}

} // namespace mintknot::entry
