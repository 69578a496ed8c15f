#include <mintknot/policy/news_age.hpp>

#include <algorithm>

namespace mintknot::policy {

namespace {

constexpr int own_watches_in_bound = 2;
/// Less than the patience by what two instances gather for.
constexpr int shared_watches_in_bound = 4;
constexpr int pauses_in_bound = 10;
/// In hundredths of the bound. The rest is for a pause, the call to the store
/// and the way of a request.
constexpr int patience_percent = 60;
constexpr int whole_percent = 100;
/// A shorter bound cannot be kept: calls to the store take some milliseconds.
constexpr base::milliseconds shortest_bound{600};
/// Less than a prompt takes to be read would only ask again each time.
constexpr base::milliseconds shortest_named_life{300};

} // namespace

news_times news_times_for(base::milliseconds wanted) {
    const base::milliseconds bound = std::max(wanted, shortest_bound);
    return {
        bound / own_watches_in_bound, bound, bound / shared_watches_in_bound,
        bound * patience_percent / whole_percent, bound / pauses_in_bound};
}

base::milliseconds named_life(base::milliseconds bound) {
    return std::max(
        shortest_named_life,
        bound - news_times_for(bound).patience - request_way);
}

} // namespace mintknot::policy
