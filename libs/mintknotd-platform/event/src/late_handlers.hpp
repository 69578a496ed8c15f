/// @file
/// Handlers of timers that fire late.
#ifndef MINTKNOT_EVENT_LATE_HANDLERS_HPP
#define MINTKNOT_EVENT_LATE_HANDLERS_HPP

#include <boost/asio/io_context.hpp>
#include <boost/asio/posix/stream_descriptor.hpp>

#include <functional>
#include <vector>

namespace mintknot::event {

/// Runs handlers once all that is ready in the system now has been handled.
///
/// The reactor takes a bounded number of ready descriptors at a time, and runs
/// timers right behind them. After a standstill a timer for silence would
/// therefore fire before the bytes that have come meanwhile are read.
class late_handlers {
public:
    explicit late_handlers(boost::asio::io_context& context);
    late_handlers(const late_handlers&) = delete;
    late_handlers& operator=(const late_handlers&) = delete;

    /// Runs the handlers in the order in which they were added.
    void add(std::function<void()> handler);

private:
    void wait_for_turn();
    void run();

    boost::asio::io_context& context_;
    /// Once written, it is reported behind all descriptors that were ready
    /// before: epoll queues them in the order in which they become ready.
    boost::asio::posix::stream_descriptor turn_;
    std::vector<std::function<void()>> waiting_;
};

} // namespace mintknot::event

#endif
