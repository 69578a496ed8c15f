/// @file
/// The queue of messages in front of the control thread.
#ifndef MINTKNOT_CONTROL_MAILBOX_HPP
#define MINTKNOT_CONTROL_MAILBOX_HPP

#include <mintknot/base/time.hpp>

#include <condition_variable>
#include <cstddef>
#include <mutex>
#include <vector>

namespace mintknot::control {

/// Many writers, one reader, which takes all messages at once. (The library's
/// concurrent queue cannot wait with a time limit, which the reader needs.)
template<class Message> class mailbox {
public:
    /// @param most bound of waiting messages.
    explicit mailbox(std::size_t most)
        : most_(most) {}

    /// @return false if the mailbox is full; the message is then dropped.
    bool post(Message message) {
        {
            const std::lock_guard lock(mutex_);
            if (messages_.size() >= most_)
                return false;
            messages_.push_back(std::move(message));
        }
        arrived_.notify_one();
        return true;
    }

    /// Waits until messages are there or the time has come. @return them all,
    /// in the order of their arrival.
    std::vector<Message> take_all(base::steady_time until) {
        std::unique_lock lock(mutex_);
        arrived_.wait_until(lock, until, [&] { return !messages_.empty(); });
        std::vector<Message> taken;
        taken.swap(messages_);
        return taken;
    }

private:
    std::size_t most_;
    std::mutex mutex_;
    std::condition_variable arrived_;
    std::vector<Message> messages_;
};

} // namespace mintknot::control

#endif
