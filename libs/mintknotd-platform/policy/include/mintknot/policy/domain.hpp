/// @file
/// Which servers one scheduler looks after, and which instance it is.
///
/// Inputs: rows of servers and the hosts that are heard and stay. Log event:
/// `scheduler_silent`; `placed_by` in `sent`, `prefill` and `decode`.
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

/// @return the domains of a service, that of the own data centre first.
/// Services with more than max_unsplit_servers have one for each data
/// centre, others one in all. Where no rows are held: the own data centre, then
/// all of them.
std::vector<domain> domains_of(
    const traffic::server_table& servers, const std::string& service,
    const std::string& own_data_centre);

/// @return the domain that a server belongs to.
domain
domain_of(const traffic::server_table& servers, const traffic::server& server);

/// @return the host that schedules a domain: all that know the same hosts
/// choose the same one. Empty if there are none.
std::string
scheduler_of(const domain& which, const std::vector<std::string>& hosts);

/// Who places requests on a domain.
struct domain_schedulers {
    std::string active;  ///< Empty: there is no host.
    std::string standby; ///< Who would be next; empty: nobody.
};

/// @return the host of scheduler_of() and the one that would be next, for twice
/// the hashes.
domain_schedulers
schedulers_of(const domain& which, const std::vector<std::string>& hosts);

} // namespace mintknot::policy

#endif
