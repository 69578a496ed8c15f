#include "order_desk.hpp"

#include <httplib.h>

namespace mintknot::scenario {

order_desk::order_desk() {
    server_.routes().Post("/orders", [this](const auto&, auto& response) {
        const std::uint64_t number = ++orders_;
        silent_.wait(true);
        response.status = 201;
        response.set_content("order " + std::to_string(number), "text/plain");
    });
    where_ = {"127.0.0.1", *server_.start({"127.0.0.1", 0})};
}

order_desk::~order_desk() {
    set_silent(false);
}

void order_desk::set_silent(bool silent) {
    silent_ = silent;
    silent_.notify_all();
}

} // namespace mintknot::scenario
