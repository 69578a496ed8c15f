/// @file
/// Clients of a soak that do not keep to the limits.
#ifndef MINTKNOT_SOAK_CROWD_SCHEDULE_HPP
#define MINTKNOT_SOAK_CROWD_SCHEDULE_HPP

#include "soak_system.hpp"

#include "crowd_clients.hpp"

#include <mintknot/event/loop.hpp>

#include <cstdint>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace mintknot::soak {

/// Sends one crowd after another to random instances, directly, drawn by a
/// seed, and watches what the processes hold.
///
/// Lifetime: loop and system must outlive it.
class crowd_schedule {
public:
    crowd_schedule(event::loop& owner, soak_system& system, std::uint64_t seed);

    void start();
    /// Closes all connections of crowds; no crowd begins any more.
    void stop();
    /// @return the instances that held more than their machine has, or took
    /// more descriptors, a line each.
    std::vector<std::string> broken() const;

private:
    void begin_crowd();
    void watch();

    event::loop& owner_;
    soak_system& system_;
    std::mt19937_64 random_;
    event::timer crowd_timer_;
    event::timer watch_timer_;
    std::vector<std::unique_ptr<crowds::crowd_clients>> crowds_;
    std::set<std::string> broken_;
};

} // namespace mintknot::soak

#endif
