/// @file
/// Which instances schedule a domain, as this instance sees it.
#ifndef MINTKNOT_SCHEDULING_SCHEDULER_DIRECTORY_HPP
#define MINTKNOT_SCHEDULING_SCHEDULER_DIRECTORY_HPP

#include <mintknot/policy/domain.hpp>
#include <mintknot/relay/router_state.hpp>
#include <mintknot/scheduling/remote_placer.hpp>

#include <map>
#include <string>
#include <vector>

namespace mintknot::scheduling {

/// Passes over schedulers that have not answered lately. Used on the loop's
/// thread; the context outlives it.
class scheduler_directory {
public:
    scheduler_directory(
        relay::router_context& context, const placer_callbacks& callbacks,
        base::milliseconds suspect_time);

    /// @return the scheduler of a domain; empty if there is none.
    std::string find(const policy::domain& which) const;
    /// @return the same, and who would be next.
    policy::domain_schedulers
    find_with_standby(const policy::domain& which) const;
    /// The host has not answered in time.
    void suspect(const std::string& host);

private:
    /// @return hosts that may schedule the domain and are not suspected.
    std::vector<std::string> trusted_hosts(const policy::domain& which) const;

    relay::router_context& context_;
    const placer_callbacks& callbacks_;
    base::milliseconds suspect_time_;
    std::map<std::string, base::steady_time> suspects_; ///< Until when.
};

} // namespace mintknot::scheduling

#endif
