#include <mintknot/policy/staleness_bounds.hpp>

#include <algorithm>

namespace mintknot::policy {

namespace {

constexpr int unfollowed_watches_in_bound = 2;
/// Two relayed watches must be shorter than the maximum age.
constexpr int relayed_watches_in_bound = 4;
constexpr int pauses_in_bound = 10;
/// Maximum age as a percentage of the bound. The rest covers a retry pause, the
/// call to the store and the transfer of a request.
constexpr int max_age_percent = 60;
constexpr int whole_percent = 100;
/// Shortest bound that can be met, as calls to the store take milliseconds.
constexpr base::milliseconds min_bound{600};
/// A call to the store, with the wait for the loop.
constexpr base::milliseconds read_time{100};
/// With less time than a prefill takes, the scheduler would have to be queried
/// again for every request.
constexpr base::milliseconds min_named_server_lifetime{300};

} // namespace

staleness_bounds staleness_bounds_for(base::milliseconds requested) {
    const base::milliseconds bound = std::max(requested, min_bound);
    return {
        bound / unfollowed_watches_in_bound, bound,
        bound / relayed_watches_in_bound,
        bound * max_age_percent / whole_percent, bound / pauses_in_bound};
}

base::milliseconds max_table_age(base::milliseconds bound) {
    const staleness_bounds bounds = staleness_bounds_for(bound);
    return bounds.max_age + bounds.retry_pause + read_time;
}

base::milliseconds named_server_lifetime(base::milliseconds bound) {
    return std::max(
        min_named_server_lifetime,
        bound - staleness_bounds_for(bound).max_age - request_travel_time);
}

} // namespace mintknot::policy
