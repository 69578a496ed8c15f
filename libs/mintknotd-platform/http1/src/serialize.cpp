#include <mintknot/http1/serialize.hpp>

#include <fmt/format.h>

#include <iterator>

namespace mintknot::http1 {

namespace {

void append_fields(std::string& out, const field_list& fields) {
    for (const field& entry : fields)
        fmt::format_to(
            std::back_inserter(out), "{}: {}\r\n", entry.name, entry.value);
}

bool method_has_body(std::string_view method) {
    return method == "POST" || method == "PUT" || method == "PATCH";
}

} // namespace

std::string serialize_head(const request_head& head, std::size_t body_bytes) {
    std::string out = fmt::format(
        "{} {} HTTP/1.{}\r\n", head.method, head.target, head.minor_version);
    append_fields(out, head.fields);
    if (body_bytes > 0 || method_has_body(head.method))
        fmt::format_to(
            std::back_inserter(out), "Content-Length: {}\r\n", body_bytes);
    out += "\r\n";
    return out;
}

std::string serialize(const request_head& head, std::string_view body) {
    std::string out = serialize_head(head, body.size());
    out += body;
    return out;
}

std::string serialize(const response_head& head) {
    std::string out = fmt::format(
        "HTTP/1.1 {} {}\r\n", head.status,
        head.reason.empty() ? reason_phrase(head.status)
                            : std::string_view(head.reason));
    append_fields(out, head.fields);
    const bool bodiless =
        head.status < 200 || head.status == 204 || head.status == 304;
    if (head.body == framing::chunked)
        out += "Transfer-Encoding: chunked\r\n";
    else if (head.body == framing::length || head.body == framing::none) {
        if (!bodiless)
            fmt::format_to(
                std::back_inserter(out), "Content-Length: {}\r\n", head.length);
    }
    if (!head.keep_alive)
        out += "Connection: close\r\n";
    out += "\r\n";
    return out;
}

std::string chunk(std::string_view data) {
    return fmt::format("{:x}\r\n{}\r\n", data.size(), data);
}

std::string_view reason_phrase(int status) noexcept {
    switch (status) {
    case 100:
        return "Continue";
    case 200:
        return "OK";
    case 400:
        return "Bad Request";
    case 404:
        return "Not Found";
    case 408:
        return "Request Timeout";
    case 413:
        return "Content Too Large";
    case 431:
        return "Request Header Fields Too Large";
    case 500:
        return "Internal Server Error";
    case 502:
        return "Bad Gateway";
    case 503:
        return "Service Unavailable";
    case 504:
        return "Gateway Timeout";
    default:
        return "Status";
    }
}

std::string text_response(
    int status, const field_list& fields, std::string_view body,
    bool keep_alive) {
    response_head head;
    head.status = status;
    head.fields = fields;
    head.body = framing::length;
    head.length = body.size();
    head.keep_alive = keep_alive;
    std::string out = serialize(head);
    out += body;
    return out;
}

} // namespace mintknot::http1
