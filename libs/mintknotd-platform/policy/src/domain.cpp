#include <mintknot/policy/domain.hpp>

#include <mintknot/base/rendezvous.hpp>
#include <mintknot/policy/group.hpp>

#include <algorithm>
#include <utility>

namespace mintknot::policy {

namespace {

/// An instance without a server table does not know how many servers there are,
/// but the instance that places requests for it does.
bool is_split(
    const traffic::server_table& servers, const std::string& service) {
    return servers.partial ||
           traffic::open_servers(servers, service).size() > max_unsplit_servers;
}

std::string rendezvous_key(const domain& which) {
    return which.service + "/" + which.data_centre;
}

} // namespace

std::vector<domain> domains_of(
    const traffic::server_table& servers, const std::string& service,
    const std::string& own_data_centre) {
    if (!is_split(servers, service))
        return {{service, {}}};
    if (servers.partial)
        return {{service, own_data_centre}, {service, {}}};
    std::vector<domain> found;
    for (const traffic::server* server :
         traffic::open_servers(servers, service)) {
        const domain value{service, server->data_centre};
        if (std::find(found.begin(), found.end(), value) == found.end())
            found.push_back(value);
    }
    std::stable_partition(found.begin(), found.end(), [&](const domain& value) {
        return value.data_centre == own_data_centre;
    });
    return found;
}

domain
domain_of(const traffic::server_table& servers, const traffic::server& server) {
    if (!is_split(servers, server.service))
        return {server.service, {}};
    return {server.service, server.data_centre};
}

std::string
scheduler_of(const domain& which, const std::vector<std::string>& hosts) {
    return base::rendezvous(rendezvous_key(which), hosts);
}

domain_schedulers
schedulers_of(const domain& which, const std::vector<std::string>& hosts) {
    std::vector<std::string> first =
        base::rendezvous_first(rendezvous_key(which), hosts, 2);
    first.resize(2);
    return {std::move(first[0]), std::move(first[1])};
}

} // namespace mintknot::policy
