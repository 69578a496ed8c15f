#include "delayed_actions.hpp"

#include <utility>

namespace mintknot::crashes {

void delayed_actions::run_after(
    base::milliseconds delay, std::function<void()> action) {
    const std::uint64_t id = ++last_id_;
    auto& timer = pending_[id];
    timer = std::make_unique<event::timer>(owner_);
    timer->start(delay, [this, id, action = std::move(action)] {
        action();
        // Posted, because the timer is running now.
        owner_.post([this, id, alive = std::weak_ptr<bool>(alive_token_)] {
            if (!alive.expired())
                pending_.erase(id);
        });
    });
}

} // namespace mintknot::crashes
