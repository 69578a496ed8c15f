/// @file
/// Finds the instances that schedule a domain, in the view of this instance.
#ifndef MINTKNOT_SCHEDULING_SCHEDULER_DIRECTORY_HPP
#define MINTKNOT_SCHEDULING_SCHEDULER_DIRECTORY_HPP

#include <mintknot/policy/domain.hpp>
#include <mintknot/relay/router_state.hpp>
#include <mintknot/scheduling/remote_placer.hpp>

#include <map>
#include <string>
#include <vector>

namespace mintknot::scheduling {

/// Skips schedulers that recently did not answer. Used only on the event loop's
/// thread; everything passed by reference must outlive it.
class scheduler_directory {
public:
    scheduler_directory(
        relay::router_context& context, const placer_callbacks& callbacks,
        base::milliseconds suspect_time);

    /// @return the scheduler of a domain; empty if there is none.
    std::string find(const policy::domain& which) const;
    /// @return the scheduler of a domain and its standby.
    policy::domain_schedulers
    find_with_standby(const policy::domain& which) const;
    /// Skips a host for a while, as it has not answered in time.
    void suspect(const std::string& host);

private:
    /// @return hosts that may schedule the domain and are not suspected.
    std::vector<std::string> trusted_hosts(const policy::domain& which) const;

    relay::router_context& context_;
    const placer_callbacks& callbacks_;
    base::milliseconds suspect_time_;
    std::map<std::string, base::steady_time> suspects_; ///< End, by host.
};

} // namespace mintknot::scheduling

#endif
