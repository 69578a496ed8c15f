#include <mintknot/entry/answer_format.hpp>

#include <mintknot/base/json_parser.hpp>

#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace mintknot::entry {

namespace {

using nlohmann::json;

std::string_view name_of(engine::finish_reason finish) {
    return finish == engine::finish_reason::length ? "length" : "stop";
}

json completion(
    const answer_head& head, const std::string& text, const json& finish) {
    return {
        {"id", head.id},
        {"object", "text_completion"},
        {"model", head.model},
        {"choices",
         {{{"index", 0}, {"text", text}, {"finish_reason", finish}}}}};
}

json error_object(const std::string& id, const base::refusal& why) {
    json error{
        {"code", base::to_string(why.code)},
        {"message", why.sentence},
        {"verdict", base::to_string(why.run)}};
    if (!id.empty())
        error["request_id"] = id;
    if (why.retry_after.count() > 0)
        error["retry_after_ms"] = why.retry_after.count();
    return {{"error", error}};
}

} // namespace

std::string token_event(
    const answer_head& head, std::uint64_t offset, const std::string& text) {
    return fmt::format(
        "id: {}\ndata: {}\n\n", offset + 1,
        base::to_text(completion(head, text, nullptr)));
}

std::string end_events(const answer_head& head, engine::finish_reason finish) {
    return fmt::format(
        "data: {}\n\ndata: [DONE]\n\n",
        base::to_text(completion(head, "", name_of(finish))));
}

std::string error_event(const answer_head& head, const base::refusal& why) {
    return fmt::format(
        "event: error\ndata: {}\n\n",
        base::to_text(error_object(head.id, why)));
}

std::string whole_answer(
    const answer_head& head, const std::vector<std::string>& tokens,
    std::uint64_t prompt_tokens, engine::finish_reason finish) {
    std::string text;
    for (const std::string& token : tokens)
        text += token;
    json document = completion(head, text, name_of(finish));
    document["usage"] = {
        {"prompt_tokens", prompt_tokens},
        {"completion_tokens", tokens.size()},
        {"total_tokens", prompt_tokens + tokens.size()}};
    return base::to_text(document);
}

std::string refusal_body(const std::string& id, const base::refusal& why) {
    return base::to_text(error_object(id, why));
}

} // namespace mintknot::entry
