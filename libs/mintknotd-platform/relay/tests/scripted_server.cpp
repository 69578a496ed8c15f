#include "scripted_server.hpp"

#include <memory>

namespace mintknot::relay::tests {

std::string received::field(std::string_view name) const {
    const std::string* found = http1::find_field(head.fields, name);
    return found == nullptr ? "" : *found;
}

scripted_server::scripted_server(event::loop& owner, script function)
    : behaviour(std::move(function))
    , accepting_(owner) {}

absl::Status scripted_server::open(const base::address& where) {
    return accepting_.open(
        where, [this](const event::connection_ptr& link) { accept(link); });
}

void scripted_server::accept(const event::connection_ptr& link) {
    struct state {
        std::unique_ptr<http1::request_parser> parser =
            std::make_unique<http1::request_parser>(http1::message_limits{});
        std::string pending;
        std::string body;
    };
    const auto now = std::make_shared<state>();
    const std::weak_ptr<event::connection> weak = link;
    link->set_handlers(
        {[this, now, link](std::string_view bytes) {
             now->pending += bytes;
             const std::size_t used =
                 now->parser->put(now->pending, [&](std::string_view piece) {
                     now->body += piece;
                 });
             now->pending.erase(0, used);
             if (!now->parser->done())
                 return;
             requests.push_back({now->parser->head(), now->body});
             now->parser = std::make_unique<http1::request_parser>(
                 http1::message_limits{});
             now->body.clear();
             const received request = requests.back();
             behaviour(request, link);
         },
         [this](event::connection_end) { ++ended; }, nullptr});
}

} // namespace mintknot::relay::tests
