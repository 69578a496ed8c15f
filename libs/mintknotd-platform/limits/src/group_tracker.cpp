#include "group_tracker.hpp"

#include <algorithm>

namespace mintknot::limits {

policy::group_view group_tracker::update(
    const std::vector<group_peer>& heard, const std::string& data_centre,
    base::steady_time now) {
    policy::group_view view;
    for (const group_peer& member : heard) {
        if (member.leaving) {
            last_heard_.erase(member.host);
            continue;
        }
        base::steady_time& last = last_heard_[member.host];
        last = std::max(last, now - member.silence);
        if (member.silence > policy::sharing_silence)
            continue;
        ++view.heard;
        if (member.data_centre == data_centre)
            ++view.here;
    }
    std::erase_if(last_heard_, [now](const auto& item) {
        return now - item.second > policy::silent_peer_timeout;
    });
    // `view.heard` counts this instance, `last_heard_` does not contain it.
    view.silent = last_heard_.size() - (view.heard - 1);
    view.uptime =
        std::chrono::duration_cast<base::milliseconds>(now - started_);
    return view;
}

} // namespace mintknot::limits
