#include <mintknot/policy/history_wait.hpp>

namespace mintknot::policy {

namespace {

/// Several heartbeats and a snapshot, also of a peer that is slow.
constexpr base::milliseconds max_wait_for_peers{1000};
/// A peer that was there would have answered within it. Short, as all instances
/// wait for it when they start together.
constexpr base::milliseconds max_wait_among_new_peers{300};

} // namespace

base::milliseconds max_history_wait(told_history told) {
    switch (told) {
    case told_history::nothing:
        return max_wait_for_peers;
    case told_history::ignorance:
        return max_wait_among_new_peers;
    case told_history::all:
        break;
    }
    return base::milliseconds{0};
}

} // namespace mintknot::policy
