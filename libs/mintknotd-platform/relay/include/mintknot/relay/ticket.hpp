/// @file
/// Handles of asynchronous queries to other instances.
#ifndef MINTKNOT_RELAY_TICKET_HPP
#define MINTKNOT_RELAY_TICKET_HPP

#include <functional>
#include <memory>
#include <utility>

namespace mintknot::relay {

/// Handle of a pending query. Destroying it cancels the query.
class ticket {
public:
    virtual ~ticket() = default;
};

/// Calls a function on destruction unless the object that handles the query has
/// been destroyed before.
class cancelling_ticket final : public ticket {
public:
    /// @param alive expires when the object that handles the query is
    /// destroyed.
    /// @param cancel called on destruction.
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
