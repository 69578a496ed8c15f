#include "tunnel_protocol.hpp"

namespace mintknot::relay {

namespace {

constexpr std::string_view request_id_field = "Request";

constexpr int status_opened = 200;
constexpr int status_refused = 502;
constexpr int status_no_path = 503;
constexpr int status_unreachable = 504;

} // namespace

http1::request_head to_head(const tunnel_request& request) {
    http1::request_head head;
    head.method = std::string(tunnel_method);
    head.target = request.server_id;
    head.fields = {{"Host", request.server_id}};
    if (!request.request_id.empty())
        head.fields.push_back(
            {std::string(request_id_field), request.request_id});
    return head;
}

tunnel_request tunnel_request_of(const http1::request_head& head) {
    const std::string* id = http1::find_field(head.fields, request_id_field);
    return {head.target, id == nullptr ? std::string() : *id};
}

int status_of(tunnel_result result) noexcept {
    switch (result) {
    case tunnel_result::opened:
        return status_opened;
    case tunnel_result::refused:
        return status_refused;
    case tunnel_result::unreachable:
        return status_unreachable;
    case tunnel_result::no_path:
        break;
    }
    return status_no_path;
}

tunnel_result tunnel_result_of(int status) noexcept {
    switch (status) {
    case status_opened:
        return tunnel_result::opened;
    case status_refused:
        return tunnel_result::refused;
    case status_unreachable:
        return tunnel_result::unreachable;
    default:
        return tunnel_result::no_path;
    }
}

} // namespace mintknot::relay
