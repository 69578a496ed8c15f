#include <mintknot/standins/fake_engine.hpp>

#include <mintknot/base/json_reader.hpp>
#include <mintknot/engine/event_lines.hpp>
#include <mintknot/net/elastic_pool.hpp>
#include <mintknot/net/http_client.hpp>
#include <mintknot/net/http_server.hpp>

#include <httplib.h>

namespace mintknot::standins {

namespace {

using base::field_or;
using nlohmann::json;

constexpr std::size_t most_connections = 1024;
constexpr std::size_t most_imports = 256;
constexpr std::size_t most_body = 64U * 1024 * 1024;
constexpr base::milliseconds import_idle_timeout{5000};
constexpr std::string_view json_type = "application/json";
constexpr std::string_view lines_type = "application/x-ndjson";

void answer(httplib::Response& response, int status, const json& body) {
    response.status = status;
    response.set_content(
        body.dump(-1, ' ', false, json::error_handler_t::replace),
        std::string(json_type));
}

void refuse(httplib::Response& response, int status, const std::string& error) {
    answer(response, status, {{"error", error}});
}

engine::order_header header_from(const json& body) {
    return {
        field_or(body, "attempt", std::string()),
        field_or(body, "holder", std::string()),
        field_or(body, "model", std::string()), field_or(body, "priority", 0),
        field_or(body, "organisation", std::string())};
}

/// @return nothing, after a refusal, if the body is no order.
std::optional<json>
read_order(const httplib::Request& request, httplib::Response& response) {
    json body = json::parse(request.body, nullptr, false);
    if (body.is_object() && !field_or(body, "attempt", std::string()).empty())
        return body;
    refuse(response, 400, "an order is an object with an attempt");
    return std::nullopt;
}

bool write_line(httplib::DataSink& sink, const std::string& line) {
    return sink.write(line.data(), line.size());
}

} // namespace

struct fake_engine::impl {
    explicit impl(const engine_options& options)
        : model(options)
        , server(
              {.most_connections = most_connections,
               .most_body_bytes = most_body})
        , imports(most_imports) {}

    engine_model model;
    net::http_client client;
    net::http_server server;
    net::elastic_pool imports;

    void add_routes();
    void prefill(const httplib::Request&, httplib::Response&);
    void decode(const httplib::Request&, httplib::Response&);
    void export_kv(const httplib::Request&, httplib::Response&);
    void report(httplib::Response&) const;
    void truth(httplib::Response&) const;
    void send_stream(
        httplib::Response&, const std::string& attempt, std::uint64_t offset);
    void import_kv(const engine::decode_order& order);
};

void fake_engine::impl::prefill(
    const httplib::Request& request, httplib::Response& response) {
    const auto body = read_order(request, response);
    if (!body)
        return;
    const auto end = model.prefill(
        {header_from(*body), field_or(*body, "prompt", std::string())});
    if (end.end != prefill_end::state::done)
        return refuse(response, 503, end.error);
    answer(
        response, 200,
        {{"handle", end.result.handle},
         {"prompt_tokens", end.result.prompt_tokens},
         {"cached_tokens", end.result.cached_tokens},
         {"kept_ms", end.result.kept_for.count()}});
}

void fake_engine::impl::decode(
    const httplib::Request& request, httplib::Response& response) {
    const auto body = read_order(request, response);
    if (!body)
        return;
    engine::decode_order order;
    order.header = header_from(*body);
    order.handle = field_or(*body, "handle", std::string());
    order.prompt_tokens = field_or(*body, "prompt_tokens", std::uint64_t{0});
    order.max_tokens = field_or(*body, "max_tokens", std::uint64_t{0});
    order.offset = field_or(*body, "offset", std::uint64_t{0});
    const auto source =
        base::parse_address(field_or(*body, "source", std::string()));
    if (!source.ok() || order.max_tokens == 0)
        return refuse(response, 400, "source or max_tokens is wrong");
    order.source = *source;

    const std::string error = model.admit(order);
    if (!error.empty())
        return refuse(response, 503, error);
    imports.submit([this, order] { import_kv(order); });
    send_stream(response, order.header.attempt, order.offset);
}

void fake_engine::impl::import_kv(const engine::decode_order& order) {
    engine::line_splitter lines;
    std::optional<std::string> prompt;
    bool whole = false;
    const auto on_data = [&](std::string_view piece) {
        lines.add(piece);
        while (const auto line = lines.next()) {
            const json part = json::parse(*line, nullptr, false);
            if (!prompt)
                prompt = field_or(part, "prompt", std::string());
            whole = whole || field_or(part, "whole", false);
        }
        return model.import_progress(order.header.attempt);
    };
    client.stream(
        order.source,
        {.path = "/v1/kv/" + order.handle, .read_timeout = import_idle_timeout},
        on_data);
    if (prompt && whole)
        model.import_done(order.header.attempt, *prompt);
    else
        model.import_failed(order.header.attempt, "the transfer broke");
}

void fake_engine::impl::export_kv(
    const httplib::Request& request, httplib::Response& response) {
    const std::string handle = request.matches[1];
    const std::string prompt = model.begin_export(handle);
    if (prompt.empty())
        return refuse(response, 404, "no such result");
    response.set_chunked_content_provider(
        std::string(lines_type),
        [this, handle, prompt](std::size_t, httplib::DataSink& sink) {
            const json head{{"prompt", prompt}};
            bool open = write_line(
                sink,
                head.dump(-1, ' ', false, json::error_handler_t::replace) +
                    "\n");
            const bool whole =
                model.export_result(handle, [&](std::uint64_t done) {
                    const json part{{"done", done}};
                    return open && write_line(sink, part.dump() + "\n");
                });
            if (whole)
                write_line(sink, "{\"whole\":true}\n");
            sink.done();
            return true;
        });
}

void fake_engine::impl::send_stream(
    httplib::Response& response, const std::string& attempt,
    std::uint64_t offset) {
    response.set_chunked_content_provider(
        std::string(lines_type),
        [this, attempt, offset](std::size_t, httplib::DataSink& sink) {
            model.read_stream(
                attempt, offset, [&](const engine::decode_event& event) {
                    return write_line(sink, engine::to_line(event));
                });
            sink.done();
            return true;
        });
}

void fake_engine::impl::report(httplib::Response& response) const {
    const auto report = model.report();
    json streams = json::array();
    for (const auto& held : report.streams)
        streams.push_back(
            {{"attempt", held.attempt},
             {"holder", held.holder},
             {"has_reader", held.has_reader},
             {"unread_ms", held.unread_for.count()},
             {"organisation", held.organisation}});
    answer(
        response, 200,
        {{"incarnation", report.incarnation},
         {"kv_used", report.kv_used},
         {"kv_capacity", report.kv_capacity},
         {"running", report.running},
         {"queued_prefill", report.queued_prefill},
         {"step_ms", report.step_ms},
         {"leaving", report.leaving},
         {"streams", streams}});
}

void fake_engine::impl::truth(httplib::Response& response) const {
    const auto truth = model.truth();
    answer(
        response, 200,
        {{"prefilled", truth.prefilled},
         {"cached", truth.cached},
         {"exported", truth.exported},
         {"expired", truth.expired},
         {"cancelled", truth.cancelled},
         {"decoded", truth.decoded},
         {"kv_used", truth.kv_used},
         {"attempts", truth.attempts}});
}

void fake_engine::impl::add_routes() {
    httplib::Server& routes = server.routes();
    using request = httplib::Request;
    using response = httplib::Response;
    routes.Post("/v1/prefill", [this](const request& in, response& out) {
        prefill(in, out);
    });
    routes.Post("/v1/decode", [this](const request& in, response& out) {
        decode(in, out);
    });
    routes.Get("/v1/kv/([0-9a-f]+)", [this](const request& in, response& out) {
        export_kv(in, out);
    });
    routes.Get("/v1/streams/(.+)", [this](const request& in, response& out) {
        const std::string attempt = in.matches[1];
        if (!model.has_stream(attempt))
            return refuse(out, 404, "no such stream");
        const std::string from = in.get_param_value("from");
        const bool number =
            !from.empty() &&
            from.find_first_not_of("0123456789") == std::string::npos;
        send_stream(out, attempt, number ? std::stoull(from) : 0);
    });
    routes.Post("/v1/cancel", [this](const request& in, response& out) {
        const auto body = read_order(in, out);
        if (!body)
            return;
        model.cancel(field_or(*body, "attempt", std::string()));
        answer(out, 200, json::object());
    });
    routes.Get(
        "/v1/report", [this](const request&, response& out) { report(out); });
    routes.Get("/v1/ground_truth", [this](const request&, response& out) {
        truth(out);
    });
    routes.Post("/v1/leave", [this](const request&, response& out) {
        model.set_leaving(true);
        answer(out, 200, json::object());
    });
}

fake_engine::fake_engine(const engine_options& options)
    : impl_(std::make_unique<impl>(options)) {
    impl_->add_routes();
}

fake_engine::~fake_engine() = default;

absl::StatusOr<std::uint16_t> fake_engine::start(const base::address& where) {
    return impl_->server.start(where);
}

engine_model& fake_engine::model() {
    return impl_->model;
}

} // namespace mintknot::standins
