/// @file
/// Actions that run once after a delay.
#ifndef MINTKNOT_CRASHES_DELAYED_ACTIONS_HPP
#define MINTKNOT_CRASHES_DELAYED_ACTIONS_HPP

#include <mintknot/event/loop.hpp>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>

namespace mintknot::crashes {

/// Runs actions later. Used only on the event loop's thread; destroying it
/// drops the actions that have not run.
class delayed_actions {
public:
    explicit delayed_actions(event::loop& owner)
        : owner_(owner) {}

    void run_after(base::milliseconds delay, std::function<void()> action);

private:
    event::loop& owner_;
    std::map<std::uint64_t, std::unique_ptr<event::timer>> pending_;
    std::uint64_t last_id_ = 0;
    std::shared_ptr<bool> alive_token_ = std::make_shared<bool>(true);
};

} // namespace mintknot::crashes

#endif
