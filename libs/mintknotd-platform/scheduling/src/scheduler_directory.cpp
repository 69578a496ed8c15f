#include "scheduler_directory.hpp"

#include <algorithm>

namespace mintknot::scheduling {

scheduler_directory::scheduler_directory(
    relay::router_context& context, const placer_callbacks& callbacks,
    base::milliseconds suspect_time)
    : context_(context)
    , callbacks_(callbacks)
    , suspect_time_(suspect_time) {}

std::string scheduler_directory::find(const policy::domain& which) const {
    return policy::scheduler_of(which, trusted_hosts(which));
}

policy::domain_schedulers
scheduler_directory::find_with_standby(const policy::domain& which) const {
    return policy::schedulers_of(which, trusted_hosts(which));
}

std::vector<std::string>
scheduler_directory::trusted_hosts(const policy::domain& which) const {
    const base::steady_time now = context_.loop.now();
    std::vector<std::string> hosts = callbacks_.hosts(which.data_centre);
    std::erase_if(hosts, [&](const std::string& host) {
        const auto found = suspects_.find(host);
        return found != suspects_.end() && found->second > now;
    });
    return hosts;
}

void scheduler_directory::suspect(const std::string& host) {
    const base::steady_time now = context_.loop.now();
    std::erase_if(
        suspects_, [now](const auto& item) { return item.second <= now; });
    suspects_[host] = now + suspect_time_;
    context_.log.write(
        "scheduler_silent",
        {{"host", host}, {"for_ms", suspect_time_.count()}});
}

} // namespace mintknot::scheduling
