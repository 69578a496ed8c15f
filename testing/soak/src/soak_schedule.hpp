/// @file
/// What a soak does at set times beside its random faults.
#ifndef MINTKNOT_SOAK_SOAK_SCHEDULE_HPP
#define MINTKNOT_SOAK_SOAK_SCHEDULE_HPP

#include "foreign_writer.hpp"
#include "soak_clients.hpp"
#include "soak_faults.hpp"
#include "soak_run.hpp"
#include "soak_system.hpp"

#include <mintknot/event/loop.hpp>

#include <functional>
#include <memory>
#include <vector>

namespace mintknot::soak {

/// What a schedule acts on.
struct schedule_parts {
    soak_system& system;
    soak_clients& clients;
    fault_injector& faults;
};

/// Restores, rollouts, kills and stops at given times, requests that crash
/// servers, what servers say in answers, and rows of another writer.
///
/// Lifetime: the loop and the parts must outlive it.
class soak_schedule {
public:
    soak_schedule(
        event::loop& owner, const soak_options& options, schedule_parts parts);

    /// To be called when the load begins.
    void start();
    /// Ends what is repeated. What is planned once still happens.
    void stop();
    /// @return the number of rows of another writer that the store has taken.
    std::size_t foreign_rows() const { return foreign_writer_.taken(); }

private:
    void plan_rollouts();
    void plan_kills();
    void plan_skews();
    void plan_restore(base::milliseconds when);
    /// Repeats the lost write until the store accepts it.
    void rewrite_configuration();
    void send_crashing();
    void send_crashing_parts();
    void speak();
    /// Switches the advertisement of limits on or off.
    void toggle_limits();
    void later(base::milliseconds delay, std::function<void()> action);

    event::loop& owner_;
    soak_options options_;
    schedule_parts parts_;
    foreign_writer foreign_writer_;
    event::timer crash_timer_;
    event::timer word_timer_;
    event::timer limit_timer_;
    std::vector<std::unique_ptr<event::timer>> timers_;
    std::size_t crashing_tries_ = 0;
    std::size_t part_tries_ = 0;
    base::steady_time faults_end_{};
};

} // namespace mintknot::soak

#endif
