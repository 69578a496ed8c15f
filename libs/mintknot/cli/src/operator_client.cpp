#include <mintknot/cli/operator_client.hpp>

#include <mintknot/base/json_reader.hpp>

#include <fmt/format.h>

namespace mintknot::cli {

namespace {

constexpr int status_conflict = 409;
constexpr base::milliseconds watch_silence{10000};

operator_answer
from_response(const base::address& where, const net::http_response& response) {
    operator_answer answer;
    if (!response.answered()) {
        const bool unsent = response.run == base::verdict::not_run;
        answer.code = unsent ? exit_code::unreachable : exit_code::unknown;
        answer.error = fmt::format(
            "{}: {}; verdict {}", base::to_string(where), response.error,
            base::to_string(response.run));
        return answer;
    }
    answer.body = base::parse_json_or_discard(response.body);
    if (response.ok())
        return answer;
    const auto error =
        base::field_or(answer.body, "error", nlohmann::json::object());
    const auto verdict = base::field_or(error, "verdict", std::string());
    answer.code = exit_code::refused;
    if (response.status == status_conflict)
        answer.code = exit_code::conflict;
    if (verdict == "may_have_run")
        answer.code = exit_code::unknown;
    answer.error = fmt::format(
        "{} ({}, verdict {})", base::field_or(error, "message", std::string()),
        base::field_or(error, "code", std::to_string(response.status)),
        verdict);
    return answer;
}

} // namespace

operator_client::operator_client(base::address where, std::string key)
    : where_(std::move(where))
    , key_(std::move(key)) {}

net::http_request
operator_client::request_for(std::string method, std::string path) const {
    net::http_request request;
    request.method = std::move(method);
    request.path = std::move(path);
    request.headers.push_back({"Authorization", "Bearer " + key_});
    return request;
}

operator_answer operator_client::send(const net::http_request& request) {
    return from_response(where_, client_.call(where_, request));
}

operator_answer operator_client::get(const std::string& path) {
    return send(request_for("GET", path));
}

operator_answer operator_client::put(
    const std::string& path, const nlohmann::json& body,
    const std::string& if_match) {
    auto request = request_for("PUT", path);
    request.body = body.dump();
    if (!if_match.empty())
        request.headers.push_back({"If-Match", if_match});
    return send(request);
}

operator_answer
operator_client::remove(const std::string& path, const std::string& if_match) {
    auto request = request_for("DELETE", path);
    request.headers.push_back({"If-Match", if_match});
    return send(request);
}

operator_answer operator_client::stream(
    const std::string& path,
    const std::function<bool(std::string_view line)>& on_line) {
    auto request = request_for("GET", path);
    request.read_timeout = watch_silence;
    std::string buffer;
    const auto response =
        client_.stream(where_, request, [&](std::string_view piece) {
            buffer.append(piece);
            for (auto end = buffer.find('\n'); end != std::string::npos;
                 end = buffer.find('\n')) {
                const std::string line = buffer.substr(0, end);
                buffer.erase(0, end + 1);
                if (!on_line(line))
                    return false;
            }
            return true;
        });
    return from_response(where_, response);
}

} // namespace mintknot::cli
