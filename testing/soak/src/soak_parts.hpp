/// @file
/// Names of the parts of a soak's system in disturbances.
#ifndef MINTKNOT_SOAK_SOAK_PARTS_HPP
#define MINTKNOT_SOAK_SOAK_PARTS_HPP

#include <mintknot/base/time.hpp>

#include <fmt/format.h>

#include <string>

namespace mintknot::soak {

/// How often a process is looked at that may have ended, in milliseconds.
inline constexpr int end_poll = 50;
/// How long what was done to a part of the system excuses it, and the time
/// within which instances adapt to a cut.
inline constexpr base::milliseconds contact_time{3000};

/// That callers name in their requests.
inline constexpr base::milliseconds caller_deadline{4000};

/// Requests may still come for so long after a server has said that it leaves.
inline constexpr base::milliseconds drain_bound{2000};

inline std::string server_part(std::size_t index) {
    return fmt::format("server-{}", index);
}

inline std::string instance_part(std::size_t index) {
    return fmt::format("instance-{}", index);
}

} // namespace mintknot::soak

#endif
