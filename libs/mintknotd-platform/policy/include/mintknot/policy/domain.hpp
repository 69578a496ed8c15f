/// @file
/// Scheduling domains: which servers one scheduler places requests on, and
/// which instance is the scheduler of a domain.
///
/// Inputs: the server table, and the hosts of live instances that are not about
/// to stop. Log event: `scheduler_silent`; field `placed_by` in `sent`,
/// `prefill` and `decode`.
#ifndef MINTKNOT_POLICY_DOMAIN_HPP
#define MINTKNOT_POLICY_DOMAIN_HPP

#include <mintknot/traffic/server_table.hpp>

#include <string>
#include <vector>

namespace mintknot::policy {

/// The servers of a service that one instance places requests on.
struct domain {
    std::string service;
    std::string data_centre; ///< Empty: those of all data centres.

    friend bool operator==(const domain&, const domain&) = default;
};

/// @return the domains of a service, the one of the own data centre first. A
/// service with more than max_unsplit_servers servers has one domain for each
/// data centre; any other has a single one. If this instance holds no server
/// table, the result is the own data centre followed by all data centres.
std::vector<domain> domains_of(
    const traffic::server_table& servers, const std::string& service,
    const std::string& own_data_centre);

/// @return the domain that a server belongs to.
domain
domain_of(const traffic::server_table& servers, const traffic::server& server);

/// @return the host that schedules a domain, or an empty string without hosts.
/// All instances that know the same hosts choose the same one.
std::string
scheduler_of(const domain& which, const std::vector<std::string>& hosts);

/// The instances that place requests on a domain.
struct domain_schedulers {
    std::string active;  ///< Empty: there is no host.
    std::string standby; ///< Takes over from the active one; empty: none.
};

/// @return the host of scheduler_of() and the one that takes over from it.
/// Costs twice as many hashes as scheduler_of().
domain_schedulers
schedulers_of(const domain& which, const std::vector<std::string>& hosts);

} // namespace mintknot::policy

#endif
