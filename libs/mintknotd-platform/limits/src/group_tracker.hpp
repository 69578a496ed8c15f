/// @file
/// Counts the instances of the group and those that have fallen silent.
#ifndef MINTKNOT_LIMITS_GROUP_TRACKER_HPP
#define MINTKNOT_LIMITS_GROUP_TRACKER_HPP

#include <mintknot/limits/usage_accounts.hpp>

#include <string>
#include <unordered_map>
#include <vector>

namespace mintknot::limits {

/// Remembers instances that have fallen silent without announcing that they
/// leave: they may still grant parts of limits on the other side of a network
/// partition.
class group_tracker {
public:
    explicit group_tracker(base::steady_time started)
        : started_(started) {}

    /// Updates the records with the instances that are heard now. @param
    /// data_centre that of this instance.
    policy::group_view update(
        const std::vector<group_peer>& heard, const std::string& data_centre,
        base::steady_time now);

private:
    base::steady_time started_;
    std::unordered_map<std::string, base::steady_time> last_heard_;
};

} // namespace mintknot::limits

#endif
