#include "late_handlers.hpp"

#include <boost/asio/post.hpp>

#include <sys/eventfd.h>
#include <unistd.h>

#include <cstdint>
#include <utility>

namespace mintknot::event {

late_handlers::late_handlers(boost::asio::io_context& context)
    : context_(context)
    , turn_(context) {
    boost::system::error_code code;
    turn_.assign(::eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC), code);
}

void late_handlers::add(std::function<void()> handler) {
    waiting_.push_back(std::move(handler));
    if (waiting_.size() > 1)
        return;
    const std::uint64_t one = 1;
    const bool written =
        turn_.is_open() && ::write(turn_.native_handle(), &one, sizeof one) ==
                               static_cast<ssize_t>(sizeof one);
    if (written)
        wait_for_turn();
    else
        run(); // No descriptor is left: late is better than never.
}

void late_handlers::wait_for_turn() {
    turn_.async_wait(
        boost::asio::posix::stream_descriptor::wait_read,
        [this](const boost::system::error_code& code) {
            if (code)
                return;
            std::uint64_t written = 0;
            [[maybe_unused]] const ssize_t got =
                ::read(turn_.native_handle(), &written, sizeof written);
            run();
        });
}

void late_handlers::run() {
    // Each on its own: one of them may stop the loop.
    for (std::function<void()>& handler : std::exchange(waiting_, {}))
        boost::asio::post(context_, std::move(handler));
}

} // namespace mintknot::event
