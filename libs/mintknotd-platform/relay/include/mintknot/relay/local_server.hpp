/// @file
/// A small HTTP server for readiness, metrics and peers.
#ifndef MINTKNOT_RELAY_LOCAL_SERVER_HPP
#define MINTKNOT_RELAY_LOCAL_SERVER_HPP

#include <mintknot/base/address.hpp>
#include <mintknot/event/loop.hpp>
#include <mintknot/http1/message.hpp>

#include <absl/status/status.h>

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace mintknot::relay {

/// The answer to a small request.
struct local_answer {
    int status = 200;
    std::string content_type = "text/plain";
    std::string body;
};

/// Sends the answer to one request, now or later; only the first call counts.
/// It may be kept after the caller or the server has gone.
using local_reply = std::function<void(const local_answer&)>;

/// Answers requests from a function. Requests with large bodies and more than
/// a few connections are turned away.
class local_server {
public:
    using handler =
        std::function<void(const http1::request_head&, local_reply)>;

    local_server(event::loop& owner, handler answer);
    ~local_server();
    local_server(const local_server&) = delete;
    local_server& operator=(const local_server&) = delete;

    absl::Status open(const base::address& where);
    std::uint16_t port() const;
    void close();

private:
    struct impl;
    std::shared_ptr<impl> impl_;
};

/// @return a handler for a function that knows its answers at once.
local_server::handler
at_once(std::function<local_answer(const http1::request_head&)> answer);

} // namespace mintknot::relay

#endif
