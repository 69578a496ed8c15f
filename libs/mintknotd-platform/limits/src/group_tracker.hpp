/// @file
/// How many instances there are, and how many of them have fallen silent.
#ifndef MINTKNOT_LIMITS_GROUP_TRACKER_HPP
#define MINTKNOT_LIMITS_GROUP_TRACKER_HPP

#include <mintknot/limits/usage_accounts.hpp>

#include <string>
#include <unordered_map>
#include <vector>

namespace mintknot::limits {

/// Remembers instances that were heard and neither said that they leave nor
/// have been heard lately: they may be granting parts of limits beyond a cut.
class group_tracker {
public:
    explicit group_tracker(base::steady_time started)
        : started_(started) {}

    /// Looks at who is heard now. @param data_centre the own one.
    policy::group_view update(
        const std::vector<group_peer>& heard, const std::string& data_centre,
        base::steady_time now);

private:
    base::steady_time started_;
    std::unordered_map<std::string, base::steady_time> last_heard_;
};

} // namespace mintknot::limits

#endif
