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
class withdrawing_ticket final : public ticket {
public:
    /// @param alive lives as long as whoever was asked.
    withdrawing_ticket(
        std::weak_ptr<const void> alive, std::function<void()> withdraw)
        : alive_(std::move(alive))
        , withdraw_(std::move(withdraw)) {}
    ~withdrawing_ticket() override {
        if (!alive_.expired())
            withdraw_();
    }
    withdrawing_ticket(const withdrawing_ticket&) = delete;
    withdrawing_ticket& operator=(const withdrawing_ticket&) = delete;

private:
    std::weak_ptr<const void> alive_;
    std::function<void()> withdraw_;
};

} // namespace mintknot::relay

#endif
