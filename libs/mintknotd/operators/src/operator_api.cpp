#include <mintknot/operators/operator_api.hpp>

#include <mintknot/base/json_parser.hpp>

#include "resource_handlers.hpp"
#include "status_report.hpp"

#include <mintknot/base/sha256.hpp>
#include <mintknot/base/status_text.hpp>

#include <fmt/format.h>
#include <httplib.h>

#include <algorithm>

namespace mintknot::operators {

namespace {

using base::reason;
using nlohmann::json;
using request = httplib::Request;
using response = httplib::Response;

constexpr std::string_view bearer = "Bearer ";
constexpr std::size_t recent_decisions = 100;

} // namespace

struct operator_api::impl {
    explicit impl(operator_parts given)
        : parts(std::move(given)) {}

    using handler = std::function<void(
        const std::string& author, const request&, response&)>;

    const operator_parts parts;

    std::string author_of(const request& in) const;
    httplib::Server::Handler guarded(handler inner) const;
    void explain(const request& in, response& out) const;
    json records_of(const base::request_id& id, bool& holder_gone) const;
    json own_records(const std::string& request) const;
    json records_of_others(const std::string& request) const;
    std::optional<json>
    records_at(const cluster::member& peer, const std::string& request) const;
};

/// @return the name of the operator's key, or an empty text.
std::string operator_api::impl::author_of(const request& in) const {
    const std::string header = in.get_header_value("Authorization");
    if (!header.starts_with(bearer))
        return {};
    const std::string digest = base::sha256_hex(header.substr(bearer.size()));
    const auto position = std::find_if(
        parts.keys.begin(), parts.keys.end(),
        [&](const config::operator_key& key) {
            return key.key_digest == digest;
        });
    return position == parts.keys.end() ? std::string{} : position->name;
}

httplib::Server::Handler operator_api::impl::guarded(handler inner) const {
    return [this, inner = std::move(inner)](const request& in, response& out) {
        const std::string author = author_of(in);
        if (!author.empty())
            return inner(author, in, out);
        const bool sent = in.has_header("Authorization");
        send_refusal(
            out, {sent ? reason::unknown_key : reason::missing_key,
                  sent ? "the key is not an operator's"
                       : "the header 'Authorization: Bearer KEY' is needed"});
    };
}

json operator_api::impl::own_records(const std::string& request) const {
    json records = json::array();
    for (const auto& record : parts.decisions.find(request))
        records.push_back(audit::to_json(record));
    return records;
}

/// @return a peer's records; nothing if it is out of reach.
std::optional<json> operator_api::impl::records_at(
    const cluster::member& peer, const std::string& request) const {
    const auto answer = parts.peers.explain(peer.rpc, request);
    if (!answer.ok())
        return std::nullopt;
    const json records = base::parse_json_or_discard(*answer);
    return records.is_array() ? records : json::array();
}

/// What others have decided about a request whose holder is gone: orphans
/// that were cancelled, streams that were resumed.
json operator_api::impl::records_of_others(const std::string& request) const {
    json records = own_records(request);
    const auto view = parts.control.view();
    for (const cluster::member& peer : view->live) {
        if (peer.id == view->self)
            continue;
        const auto found = records_at(peer, request);
        if (found)
            records.insert(records.end(), found->begin(), found->end());
    }
    std::sort(records.begin(), records.end(), [](const json& x, const json& y) {
        return x.value("time_ms", std::int64_t{0}) <
               y.value("time_ms", std::int64_t{0});
    });
    return records;
}

/// Records are kept by the instance that holds the request.
json operator_api::impl::records_of(
    const base::request_id& id, bool& holder_gone) const {
    const std::string name = base::to_string(id);
    const auto view = parts.control.view();
    if (id.holder == view->self)
        return own_records(name);
    const auto holder = control::find_live(*view, id.holder);
    if (holder)
        if (const auto records = records_at(*holder, name))
            return *records;
    holder_gone = true;
    return records_of_others(name);
}

void operator_api::impl::explain(const request& in, response& out) const {
    const std::string text = in.matches[1];
    const auto id = base::parse_request_id(text);
    if (!id.ok())
        return send_refusal(
            out,
            {reason::bad_field, fmt::format("'{}' is not a request ID", text)});
    bool holder_gone = false;
    const json records = records_of(*id, holder_gone);
    if (records.empty() && holder_gone)
        return send_refusal(
            out, {reason::not_found,
                  fmt::format(
                      "the instance {} that held the request is gone or out "
                      "of reach, and with it its records",
                      base::to_string(id->holder))});
    if (records.empty())
        return send_refusal(
            out, {reason::not_found,
                  "no record of that request is kept (any more)"});
    send_json(
        out, 200,
        {{"request", text},
         {"holder_gone", holder_gone},
         {"decisions", records}});
}

operator_api::operator_api(operator_parts parts)
    : impl_(std::make_unique<impl>(std::move(parts))) {}

operator_api::~operator_api() = default;

void operator_api::add_health_routes(httplib::Server& routes) {
    routes.Get("/healthz", [](const request&, response& out) {
        out.set_content("ok\n", "text/plain");
    });
    routes.Get("/readyz", [this](const request&, response& out) {
        const readiness state = impl_->parts.is_ready();
        out.status = state.ready ? 200 : 503;
        out.set_content(state.sentence + "\n", "text/plain");
    });
}

void operator_api::add_routes(httplib::Server& routes) {
    const operator_parts& parts = impl_->parts;
    add_health_routes(routes);
    routes.Get("/metrics", [&parts](const request&, response& out) {
        out.set_content(parts.metrics.text(), "text/plain; version=0.0.4");
    });
    add_resource_routes(routes);
    add_record_routes(routes);
    routes.set_error_handler([](const request& in, response& out) {
        if (!out.body.empty())
            return;
        const int status = out.status;
        send_refusal(
            out, {status == 404 ? reason::not_found : reason::bad_field,
                  fmt::format("{} {}: not understood", in.method, in.path)});
        out.status = status;
    });
}

void operator_api::add_resource_routes(httplib::Server& routes) {
    const operator_parts& parts = impl_->parts;
    const std::string one = "/v1/resources/([^/]+)/([^/]+)";
    const auto list = impl_->guarded(
        [&parts](const std::string&, const request& in, response& out) {
            list_resources(parts, in, out);
        });
    routes.Get("/v1/resources", list);
    routes.Get("/v1/resources/([^/]+)", list);
    routes.Get(
        one,
        impl_->guarded(
            [&parts](const std::string&, const request& in, response& out) {
                get_resource(parts, in, out);
            }));
    routes.Put(
        one, impl_->guarded(
                 [&parts](
                     const std::string& author, const request& in,
                     response& out) { put_resource(parts, author, in, out); }));
    routes.Delete(
        one, impl_->guarded([&parts](
                                const std::string& author, const request& in,
                                response& out) {
            delete_resource(parts, author, in, out);
        }));
    routes.Get(
        "/v1/changes/([^/]+)",
        impl_->guarded(
            [&parts](const std::string&, const request& in, response& out) {
                get_change(parts, in, out);
            }));
}

void operator_api::add_record_routes(httplib::Server& routes) {
    const operator_parts& parts = impl_->parts;
    routes.Get(
        "/v1/why/([^/]+)",
        impl_->guarded(
            [this](const std::string&, const request& in, response& out) {
                impl_->explain(in, out);
            }));
    routes.Get(
        "/v1/decisions",
        impl_->guarded([&parts](
                           const std::string&, const request&, response& out) {
            json records = json::array();
            for (const auto& record : parts.decisions.recent(recent_decisions))
                records.push_back(audit::to_json(record));
            send_json(out, 200, {{"decisions", records}});
        }));
    routes.Get(
        "/v1/status",
        impl_->guarded(
            [&parts](const std::string&, const request&, response& out) {
                send_json(out, 200, status_report(parts));
            }));
}

} // namespace mintknot::operators
