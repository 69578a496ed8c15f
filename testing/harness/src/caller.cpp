#include <mintknot/harness/caller.hpp>

#include <mintknot/base/json_reader.hpp>
#include <mintknot/engine/event_lines.hpp>

#include <nlohmann/json.hpp>

namespace mintknot::harness {

namespace {

using base::field_or;
using nlohmann::json;

constexpr base::milliseconds patience{20000};

/// Reads server-sent events.
class event_reader {
public:
    event_reader(
        received_answer& answer, std::uint64_t leave_after,
        std::function<void(std::size_t)> on_token)
        : answer_(answer)
        , leave_after_(leave_after)
        , on_token_(std::move(on_token)) {}

    bool take(std::string_view piece) {
        lines_.add(piece);
        while (const auto line = lines_.next())
            if (!take_line(*line))
                return false;
        return true;
    }

private:
    bool take_line(const std::string& line) {
        if (line.starts_with("id: "))
            answer_.event_ids.push_back(std::stoull(line.substr(4)));
        else if (line == "event: error")
            error_ = true;
        else if (line == "data: [DONE]")
            answer_.done = true;
        else if (line.starts_with("data: "))
            return take_data(json::parse(line.substr(6), nullptr, false));
        return true;
    }

    bool take_data(const json& data) {
        answer_.request_id = field_or(data, "id", answer_.request_id);
        if (error_) {
            const json error = field_or(data, "error", json::object());
            answer_.error_code = field_or(error, "code", std::string());
            answer_.error_verdict = field_or(error, "verdict", std::string());
            return true;
        }
        const json choices = field_or(data, "choices", json::array());
        if (choices.empty())
            return true;
        const auto finish =
            field_or(choices[0], "finish_reason", std::string());
        if (!finish.empty()) {
            answer_.finish = finish;
            return true;
        }
        answer_.tokens.push_back(field_or(choices[0], "text", std::string()));
        if (on_token_)
            on_token_(answer_.tokens.size());
        return leave_after_ == 0 || answer_.tokens.size() < leave_after_;
    }

    received_answer& answer_;
    std::uint64_t leave_after_;
    std::function<void(std::size_t)> on_token_;
    engine::line_splitter lines_;
    bool error_ = false;
};

received_answer send(
    const base::address& where, const net::http_request& request,
    std::uint64_t leave_after, std::function<void(std::size_t)> on_token) {
    received_answer answer;
    event_reader reader(answer, leave_after, std::move(on_token));
    // A client of its own: leaving closes its connection.
    net::http_client client;
    const auto response =
        client.stream(where, request, [&](std::string_view piece) {
            return reader.take(piece);
        });
    answer.status = response.status;
    if (const auto id = response.header("X-Request-Id"); !id.empty())
        answer.request_id = id;
    if (response.answered() && !response.ok()) {
        const json error = field_or(
            json::parse(response.body, nullptr, false), "error",
            json::object());
        answer.error_code = field_or(error, "code", std::string());
        answer.error_verdict = field_or(error, "verdict", std::string());
    }
    return answer;
}

} // namespace

received_answer
complete(const base::address& where, const completion_options& options) {
    net::http_request request;
    request.method = "POST";
    request.path = "/v1/completions";
    request.read_timeout = patience;
    request.body = json{
        {"model", options.model},
        {"prompt", options.prompt},
        {"max_tokens", options.max_tokens},
        {"stream",
         true}}.dump();
    request.headers.push_back({"Authorization", "Bearer " + options.key});
    if (!options.request_class.empty())
        request.headers.push_back({"X-Request-Class", options.request_class});
    if (!options.idempotency_key.empty())
        request.headers.push_back({"Idempotency-Key", options.idempotency_key});
    if (options.deadline_ms != 0)
        request.headers.push_back(
            {"X-Deadline-Ms", std::to_string(options.deadline_ms)});
    return send(where, request, options.leave_after, options.on_token);
}

received_answer resume(
    const base::address& where, const std::string& key,
    const std::string& request_id, const std::string& last_event_id) {
    net::http_request request;
    request.path = "/v1/requests/" + request_id + "/stream";
    request.read_timeout = patience;
    request.headers.push_back({"Authorization", "Bearer " + key});
    if (!last_event_id.empty())
        request.headers.push_back({"Last-Event-ID", last_event_id});
    return send(where, request, 0, {});
}

std::string text_of(const received_answer& answer) {
    std::string text;
    for (const std::string& token : answer.tokens)
        text += token;
    return text;
}

} // namespace mintknot::harness
