/// @file
/// A bound on the processor time of processes, as a small machine has it.
#ifndef MINTKNOT_SOAK_PROCESSOR_QUOTA_HPP
#define MINTKNOT_SOAK_PROCESSOR_QUOTA_HPP

#include "soak_system.hpp"

#include <mintknot/event/loop.hpp>

#include <chrono>
#include <map>

namespace mintknot::soak {

/// Gives each instance a share of a core: one that has used up its part of a
/// period is stopped by a signal until its debt is paid.
///
/// Lifetime: loop and system must outlive it.
class processor_quota {
public:
    /// @param share of one core; zero: no bound.
    processor_quota(event::loop& owner, soak_system& system, double share);

    void start();
    /// Lets every instance run freely again.
    void stop();

private:
    struct account {
        pid_t process = -1;
        std::chrono::nanoseconds used{0}; ///< When it was last looked at.
        std::chrono::nanoseconds credit{0};
        bool stopped = false;
    };

    void look();
    void look_at(std::size_t instance, std::chrono::nanoseconds earned);

    event::loop& owner_;
    soak_system& system_;
    double share_;
    event::timer timer_;
    base::steady_time looked_{};
    std::map<std::size_t, account> accounts_;
};

} // namespace mintknot::soak

#endif
