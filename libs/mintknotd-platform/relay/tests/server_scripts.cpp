#include "server_scripts.hpp"

#include <mintknot/http1/serialize.hpp>

#include <fmt/format.h>

namespace mintknot::relay::tests {

std::string
answer_to(const received_request& to, const std::string& body, int status) {
    return fmt::format(
        "HTTP/1.1 {} X\r\nId: {}\r\nSeal: s\r\nContent-Length: {}\r\n\r\n{}",
        status, to.field("Id"), body.size(), body);
}

std::string rejection_of(const received_request& to) {
    return fmt::format(
        "HTTP/1.1 503 X\r\nId: {}\r\nNot-Run: 1\r\nContent-Length: "
        "0\r\n\r\n",
        to.field("Id"));
}

std::string stream_head(const received_request& to) {
    return fmt::format(
        "HTTP/1.1 200 X\r\nId: {}\r\nSeal: s\r\nContent-Type: events\r\n"
        "Transfer-Encoding: chunked\r\n\r\n",
        to.field("Id"));
}

std::string
head_without_length(const received_request& to, const std::string& type) {
    return "HTTP/1.1 200 X\r\nId: " + to.field("Id") +
           "\r\nSeal: s\r\nContent-Type: " + type + "\r\n\r\n";
}

std::string event_text(int id) {
    return fmt::format("id: {}\ndata: token {}\n\n", id, id);
}

script good_prefill(const std::string& handle) {
    return [handle](
               const received_request& to, const event::connection_ptr& link) {
        link->write(answer_to(to, "handle " + handle));
    };
}

script good_decode() {
    return [](const received_request& to, const event::connection_ptr& link) {
        const std::string after = to.field("After");
        std::string text = stream_head(to);
        for (int id = after.empty() ? 1 : std::stoi(after) + 1; id <= 3; ++id)
            text += http1::chunk(event_text(id));
        link->write(text + std::string(http1::last_chunk));
    };
}

std::string all_events() {
    return event_text(1) + event_text(2) + event_text(3);
}

script rejecting() {
    return [](const received_request& to, const event::connection_ptr& link) {
        link->write(rejection_of(to));
    };
}

script echo_id() {
    return [](const received_request& to, const event::connection_ptr& link) {
        link->write(answer_to(to, to.field("Id")));
    };
}

script silent() {
    return [](const received_request&, const event::connection_ptr&) {};
}

} // namespace mintknot::relay::tests
