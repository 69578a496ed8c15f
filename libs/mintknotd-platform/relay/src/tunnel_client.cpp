#include "tunnel_client.hpp"

#include <mintknot/http1/message_parser.hpp>
#include <mintknot/http1/serialize.hpp>

#include <memory>
#include <string>
#include <utility>

namespace mintknot::relay {

namespace {

constexpr http1::message_limits answer_limits{8 * 1024, 0};

/// A tunnel that is being opened; kept alive by its pending handlers.
class opening : public std::enable_shared_from_this<opening> {
public:
    opening(
        event::loop& owner, const tunnel_request& request,
        std::function<void(event::connection_ptr, tunnel_result)> on_done)
        : owner_(owner)
        , head_(to_head(request))
        , on_done_(std::move(on_done))
        , limit_(owner)
        , parser_(answer_limits, true) {}

    void start(const base::address& peer, base::milliseconds timeout) {
        limit_.start(timeout, [self = shared_from_this()] {
            self->finish(tunnel_result::no_path);
        });
        event::connect(
            owner_, peer, timeout,
            [self = shared_from_this()](
                event::connection_ptr link, event::connect_result) {
                self->on_connected(std::move(link));
            });
    }

private:
    void on_connected(event::connection_ptr link) {
        if (!on_done_) {
            if (link != nullptr)
                link->close();
            return;
        }
        if (link == nullptr) {
            finish(tunnel_result::no_path);
            return;
        }
        link_ = std::move(link);
        link_->set_handlers(
            {[self = shared_from_this()](std::string_view bytes) {
                 self->on_data(bytes);
             },
             [self = shared_from_this()](event::connection_end) {
                 self->finish(tunnel_result::no_path);
             },
             nullptr});
        link_->write(http1::serialize(head_, {}));
    }

    void on_data(std::string_view bytes) {
        parser_.put(bytes, nullptr);
        if (parser_.error() != http1::parse_error::none)
            finish(tunnel_result::no_path);
        else if (parser_.has_head())
            finish(tunnel_result_of(parser_.head().status));
    }

    void finish(tunnel_result result) {
        if (!on_done_)
            return;
        limit_.stop();
        const auto on_done = std::exchange(on_done_, nullptr);
        event::connection_ptr link = std::exchange(link_, nullptr);
        if (result != tunnel_result::opened && link != nullptr) {
            link->close();
            link = nullptr;
        }
        on_done(std::move(link), result);
    }

    event::loop& owner_;
    http1::request_head head_;
    std::function<void(event::connection_ptr, tunnel_result)> on_done_;
    event::timer limit_;
    event::connection_ptr link_;
    http1::response_parser parser_;
};

} // namespace

void open_tunnel(
    event::loop& owner, const base::address& peer,
    const tunnel_request& request, base::milliseconds timeout,
    std::function<void(event::connection_ptr, tunnel_result)> on_done) {
    std::make_shared<opening>(owner, request, std::move(on_done))
        ->start(peer, timeout);
}

} // namespace mintknot::relay
