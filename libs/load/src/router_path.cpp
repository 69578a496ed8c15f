#include <mintknot/load/call_path.hpp>

#include "token_clock.hpp"

#include <mintknot/base/json_reader.hpp>
#include <mintknot/engine/event_lines.hpp>
#include <mintknot/net/http_client.hpp>

#include <atomic>

namespace mintknot::load {

namespace {

using base::field_or;
using nlohmann::json;

constexpr base::milliseconds patience{120000};

void take_error(const std::string& text, call_record& record) {
    const json error =
        field_or(json::parse(text, nullptr, false), "error", json::object());
    record.code = field_or(error, "code", std::string("no_answer"));
    record.verdict = field_or(error, "verdict", std::string());
}

class router_path final : public call_path {
public:
    router_path(std::vector<base::address> instances, std::string model)
        : instances_(std::move(instances))
        , model_(std::move(model)) {}

    call_record send(const mix_part& part, const arrival& call) override {
        call_record record;
        record.part = call.part;
        token_clock clock;
        engine::line_splitter lines;
        bool error = false;
        const auto on_line = [&](const std::string& line) {
            if (line.starts_with("id: "))
                clock.tick();
            else if (line == "data: [DONE]")
                record.whole = true;
            else if (line == "event: error")
                error = true;
            else if (error && line.starts_with("data: "))
                take_error(line.substr(6), record);
            record.left =
                call.leave_after > 0 && clock.tokens() >= call.leave_after;
            return !record.left;
        };
        const auto answer = client_.stream(
            instances_[next_++ % instances_.size()], request_for(part, call),
            [&](std::string_view piece) {
                lines.add(piece);
                while (const auto line = lines.next())
                    if (!on_line(*line))
                        return false;
                return true;
            });
        clock.fill(record);
        record.request_id = answer.header("X-Request-Id");
        if (!answer.ok() && !record.left)
            take_error(answer.body, record);
        return record;
    }

private:
    net::http_request
    request_for(const mix_part& part, const arrival& call) const {
        net::http_request request;
        request.method = "POST";
        request.path = "/v1/completions";
        request.read_timeout = patience;
        request.body = json{
            {"model", model_},
            {"prompt", call.prompt},
            {"max_tokens", call.max_tokens},
            {"stream",
             true}}.dump();
        request.headers = {
            {"Authorization", "Bearer " + part.key},
            {"X-Request-Class", part.request_class}};
        return request;
    }

    const std::vector<base::address> instances_;
    const std::string model_;
    net::http_client client_;
    std::atomic<std::size_t> next_{0};
};

} // namespace

std::unique_ptr<call_path>
through_router(std::vector<base::address> instances, std::string model) {
    return std::make_unique<router_path>(
        std::move(instances), std::move(model));
}

} // namespace mintknot::load
