#include <mintknot/engine/http_engine.hpp>

#include <mintknot/engine/event_lines.hpp>

#include <mintknot/base/json_reader.hpp>

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include <optional>

namespace mintknot::engine {

namespace {

using base::reason;
using base::refusal;
using base::verdict;

constexpr base::milliseconds connect_timeout{500};
constexpr base::milliseconds short_call{1000};

/// Status of an explicit rejection: the engine has started nothing.
constexpr bool is_rejection(int status) {
    return status == 429 || status == 503 || status == 400 || status == 404;
}

std::string sentence_of(const net::http_response& answer) {
    const auto document = base::parse_json_or_discard(answer.body);
    if (document.is_object())
        return base::field_or(document, "error", std::string());
    return {};
}

refusal
refusal_of(const base::address& where, const net::http_response& answer) {
    const std::string name = base::to_string(where);
    if (!answer.answered()) {
        const bool unsent = answer.run == verdict::not_run;
        return {
            unsent ? reason::engine_unreachable : reason::engine_failed,
            fmt::format("engine {}: {}", name, answer.error), answer.run};
    }
    if (is_rejection(answer.status))
        return {
            reason::engine_rejected,
            fmt::format("engine {}: {}", name, sentence_of(answer)),
            verdict::not_run};
    return {
        reason::engine_failed,
        fmt::format("engine {} answered {}", name, answer.status),
        verdict::may_have_run};
}

nlohmann::json to_json(const order_header& header) {
    return {
        {"attempt", header.attempt},
        {"holder", header.holder},
        {"model", header.model},
        {"priority", header.priority},
        {"organisation", header.organisation}};
}

held_stream stream_from(const nlohmann::json& item) {
    return {
        base::field_or(item, "attempt", std::string()),
        base::field_or(item, "holder", std::string()),
        base::field_or(item, "has_reader", false),
        base::milliseconds{base::field_or(item, "unread_ms", std::int64_t{0})},
        base::field_or(item, "organisation", std::string())};
}

} // namespace

base::outcome<prefill_result> http_engine::prefill(
    const base::address& where, const prefill_order& order,
    base::milliseconds timeout, net::call_canceller& canceller) {
    nlohmann::json body = to_json(order.header);
    body["prompt"] = order.prompt;
    const auto answer = client_.call(
        where,
        {.method = "POST",
         .path = "/v1/prefill",
         .body = base::to_text(body),
         .connect_timeout = connect_timeout,
         .read_timeout = timeout},
        &canceller);
    if (!answer.ok())
        return refusal_of(where, answer);
    const auto document = base::parse_json_or_discard(answer.body);
    if (!document.is_object() || !document.contains("handle"))
        return refusal{
            reason::engine_failed, "the engine's answer is not a result",
            verdict::may_have_run};
    return prefill_result{
        base::field_or(document, "handle", std::string()),
        base::field_or(document, "prompt_tokens", std::uint64_t{0}),
        base::field_or(document, "cached_tokens", std::uint64_t{0}),
        base::milliseconds{
            base::field_or(document, "kept_ms", std::int64_t{0})}};
}

base::outcome<decode_event> http_engine::decode(
    const base::address& where, const decode_order& order,
    base::milliseconds idle_timeout, const event_receiver& on_event,
    net::call_canceller& canceller) {
    nlohmann::json body = to_json(order.header);
    body["source"] = base::to_string(order.source);
    body["handle"] = order.handle;
    body["prompt_tokens"] = order.prompt_tokens;
    body["max_tokens"] = order.max_tokens;
    body["offset"] = order.offset;
    return read_stream(
        where,
        {.method = "POST",
         .path = "/v1/decode",
         .body = base::to_text(body),
         .connect_timeout = connect_timeout,
         .read_timeout = idle_timeout},
        on_event, canceller);
}

base::outcome<decode_event> http_engine::resume(
    const base::address& where, const std::string& attempt,
    std::uint64_t offset, base::milliseconds idle_timeout,
    const event_receiver& on_event, net::call_canceller& canceller) {
    return read_stream(
        where,
        {.path = fmt::format("/v1/streams/{}?from={}", attempt, offset),
         .connect_timeout = connect_timeout,
         .read_timeout = idle_timeout},
        on_event, canceller);
}

base::outcome<decode_event> http_engine::read_stream(
    const base::address& where, const net::http_request& request,
    const event_receiver& on_event, net::call_canceller& canceller) {
    line_splitter lines;
    std::optional<decode_event> last;
    bool left = false;
    const auto on_data = [&](std::string_view piece) {
        lines.add(piece);
        while (auto line = lines.next()) {
            auto event = parse_line(*line);
            if (!event)
                return false;
            const bool ended = event->what == decode_event::kind::end ||
                               event->what == decode_event::kind::failed;
            if (ended)
                last = std::move(event);
            else if (!on_event(*event)) {
                left = true;
                return false;
            }
        }
        return true;
    };
    const auto answer = client_.stream(where, request, on_data, &canceller);
    if (left || canceller.cancelled())
        return refusal{
            reason::cancelled, "the reader left the stream",
            verdict::may_have_run};
    if (last && last->what == decode_event::kind::failed)
        return refusal{
            reason::transfer_failed,
            fmt::format("engine {}: {}", base::to_string(where), last->text),
            verdict::may_have_run};
    if (last)
        return *std::move(last);
    if (answer.ok())
        return refusal{
            reason::engine_failed, "the engine ended the stream too early",
            verdict::may_have_run};
    return refusal_of(where, answer);
}

absl::Status
http_engine::cancel(const base::address& where, const std::string& attempt) {
    const auto answer = client_.call(
        where, {.method = "POST",
                .path = "/v1/cancel",
                .body = base::to_text({{"attempt", attempt}}),
                .connect_timeout = connect_timeout,
                .read_timeout = short_call});
    if (answer.ok())
        return absl::OkStatus();
    return absl::UnavailableError(
        fmt::format("engine {}: {}", base::to_string(where), answer.error));
}

absl::StatusOr<nlohmann::json>
http_engine::get_json(const base::address& where, std::string path) {
    const auto answer = client_.call(
        where, {.path = std::move(path),
                .connect_timeout = connect_timeout,
                .read_timeout = short_call});
    auto document = base::parse_json_or_discard(answer.body);
    if (!answer.ok() || !document.is_object())
        return absl::UnavailableError(
            fmt::format("engine {}: {}", base::to_string(where), answer.error));
    return document;
}

absl::StatusOr<load_report> http_engine::report(const base::address& where) {
    auto document = get_json(where, "/v1/report");
    if (!document.ok())
        return document.status();
    load_report report;
    report.incarnation =
        base::field_or(*document, "incarnation", std::uint64_t{0});
    report.kv_used = base::field_or(*document, "kv_used", std::uint64_t{0});
    report.kv_capacity =
        base::field_or(*document, "kv_capacity", std::uint64_t{0});
    report.running = base::field_or(*document, "running", std::uint64_t{0});
    report.queued_prefill =
        base::field_or(*document, "queued_prefill", std::uint64_t{0});
    report.step_ms = base::field_or(*document, "step_ms", 0.0);
    report.leaving = base::field_or(*document, "leaving", false);
    for (const auto& item :
         base::field_or(*document, "streams", nlohmann::json::array()))
        report.streams.push_back(stream_from(item));
    return report;
}

} // namespace mintknot::engine
