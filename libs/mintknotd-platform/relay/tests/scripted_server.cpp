#include "scripted_server.hpp"

#include <memory>

namespace mintknot::relay::tests {

std::string received_request::field(std::string_view name) const {
    const std::string* found = http1::find_field(head.fields, name);
    return found == nullptr ? "" : *found;
}

scripted_server::scripted_server(event::loop& owner, script function)
    : behaviour(std::move(function))
    , listener_(owner) {}

absl::Status scripted_server::open(const base::address& where) {
    return listener_.open(
        where, [this](const event::connection_ptr& link) { accept(link); });
}

void scripted_server::accept(const event::connection_ptr& link) {
    struct state {
        std::unique_ptr<http1::request_parser> parser =
            std::make_unique<http1::request_parser>(http1::message_limits{});
        std::string pending;
        std::string body;
    };
    const auto reader = std::make_shared<state>();
    const std::weak_ptr<event::connection> weak = link;
    link->set_handlers(
        {[this, reader, link](std::string_view bytes) {
             reader->pending += bytes;
             const std::size_t used = reader->parser->put(
                 reader->pending,
                 [&](std::string_view piece) { reader->body += piece; });
             reader->pending.erase(0, used);
             if (!reader->parser->done())
                 return;
             requests.push_back({reader->parser->head(), reader->body});
             reader->parser = std::make_unique<http1::request_parser>(
                 http1::message_limits{});
             reader->body.clear();
             const received_request request = requests.back();
             behaviour(request, link);
         },
         [this](event::connection_end) { ++closed_connections; }, nullptr});
}

} // namespace mintknot::relay::tests
