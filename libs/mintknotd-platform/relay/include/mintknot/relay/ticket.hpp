/// @file
/// What holds a question to another instance open.
#ifndef MINTKNOT_RELAY_TICKET_HPP
#define MINTKNOT_RELAY_TICKET_HPP

#include <functional>
#include <memory>
#include <utility>

namespace mintknot::relay {

/// A question that is under way. Destroying it withdraws the question.
class ticket {
public:
    virtual ~ticket() = default;
};

/// Calls a function when it goes, unless whoever was asked has gone before.
class cancelling_ticket final : public ticket {
public:
    /// @param alive lives as long as whoever was asked.
    cancelling_ticket(
        std::weak_ptr<const void> alive, std::function<void()> cancel)
        : alive_(std::move(alive))
        , cancel_(std::move(cancel)) {}
    ~cancelling_ticket() override {
        if (!alive_.expired())
            cancel_();
    }
    cancelling_ticket(const cancelling_ticket&) = delete;
    cancelling_ticket& operator=(const cancelling_ticket&) = delete;

private:
    std::weak_ptr<const void> alive_;
    std::function<void()> cancel_;
};

} // namespace mintknot::relay

#endif
