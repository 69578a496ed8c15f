/// @file
/// The role of an instance in its group, and which members it addresses.

#include "instance_impl.hpp"

#include "heartbeat_content.hpp"

#include <mintknot/base/rendezvous.hpp>
#include <mintknot/policy/group.hpp>

#include <algorithm>
#include <set>

namespace mintknot::runtime {

namespace {

/// Interval between two queries to a scheduler for one waiting request: several
/// round trips.
constexpr base::milliseconds min_query_interval{60};

} // namespace

std::vector<limits::group_peer> instance::impl::members() const {
    std::vector<limits::group_peer> result;
    for (const auto& [host, peer] : group.table().heard)
        result.push_back(
            {host, peer.data_centre, peer.leaving,
             std::chrono::duration_cast<base::milliseconds>(
                 ports.loop.now() - peer.heard)});
    return result;
}

std::vector<policy::tunnel_peer> instance::impl::tunnel_peers() const {
    std::vector<policy::tunnel_peer> result;
    for (const auto& [host, peer] : group.table().heard)
        if (!peer.leaving)
            result.push_back({host, peer.data_centre == settings.data_centre});
    return result;
}

std::vector<policy::instance_location> instance::impl::staying_peers() const {
    std::vector<policy::instance_location> result;
    for (const auto& [host, peer] : group.table().heard)
        if (!peer.leaving)
            result.push_back({host, peer.data_centre});
    return result;
}

std::optional<std::string>
instance::impl::only_version_of(const std::string& service) const {
    if (context.state.config == nullptr || context.state.servers.partial)
        return std::nullopt;
    return policy::only_version(
        context.state.versions, service,
        policy::longest_stream(*context.state.config) + policy::origin_grace,
        ports.loop.now());
}

std::vector<std::string> instance::impl::crash_judges() const {
    std::vector<std::string> hosts = peers::staying(group.table(), {});
    if (members_of_fleet.role() != policy::group_role::leaf)
        hosts.push_back(settings.peer.host);
    return policy::crash_evaluators(hosts);
}

std::vector<std::string> instance::impl::followers() const {
    std::vector<std::string> hosts;
    if (members_of_fleet.role() != policy::group_role::super_peer)
        return hosts;
    const peers::peer_table& heard = group.table();
    for (const auto& [host, member] : members_of_fleet.table().joined)
        if (host != settings.peer.host && !heard.heard.contains(host))
            hosts.push_back(host);
    return hosts;
}

std::vector<std::string>
instance::impl::scheduler_hosts(const std::string& data_centre) const {
    std::vector<std::string> hosts = peers::staying(group.table(), data_centre);
    if (!context.state.stopping && documents.knows_servers() &&
        (data_centre.empty() || data_centre == settings.data_centre))
        hosts.push_back(settings.peer.host);
    return hosts;
}

std::vector<policy::domain>
instance::impl::domains_containing(const traffic::server& server) const {
    std::vector<policy::domain> found = {
        policy::domain_of(context.state.servers, server)};
    if (members_of_fleet.role() == policy::group_role::flat)
        return found;
    for (const std::string& data_centre : {server.data_centre, std::string()}) {
        const policy::domain other{server.service, data_centre};
        if (other != found.front())
            found.push_back(other);
    }
    return found;
}

std::vector<std::string> instance::impl::token_holders(
    const traffic::server& server, double rate) const {
    if (!placer.active())
        return base::rendezvous_first(
            server.id, scheduler_hosts({}), policy::max_token_holders(rate));
    std::vector<std::string> hosts;
    for (const policy::domain& which : domains_containing(server)) {
        const std::string host =
            policy::scheduler_of(which, scheduler_hosts(which.data_centre));
        if (!host.empty() &&
            std::find(hosts.begin(), hosts.end(), host) == hosts.end())
            hosts.push_back(host);
    }
    return hosts;
}

std::vector<std::string>
instance::impl::limit_report_recipients(const traffic::server& server) const {
    if (!placer.active())
        return peers::staying(group.table(), {});
    std::set<std::string> hosts;
    for (const policy::domain& which : domains_containing(server)) {
        const policy::domain_schedulers found =
            policy::schedulers_of(which, scheduler_hosts(which.data_centre));
        hosts.insert({found.active, found.standby});
    }
    hosts.erase(std::string());
    hosts.erase(settings.peer.host);
    return {hosts.begin(), hosts.end()};
}

bool instance::impl::uses_schedulers() const {
    return settings.always_schedule || peers::is_large(group.table());
}

peers::group_handlers instance::impl::group_functions() {
    return {
        [this] { return describe_here(); },
        [this](const std::string& host, const peers::heartbeat& heartbeat) {
            on_heartbeat(host, heartbeat);
        },
        [this](const std::string& host, std::string_view datagram) {
            on_datagram(host, datagram);
        },
        [this](const std::string& host, const std::string& data_centre) {
            members_of_fleet.on_stranger(host, data_centre);
        }};
}

peers::membership_options instance::impl::membership_settings() const {
    return {
        {settings.peer.host, settings.data_centre,
         policy::capacity_class(settings.processor_share)},
        settings.seed_hosts,
        settings.max_flat_group};
}

peers::membership_handlers instance::impl::membership_functions() {
    return {
        datagram_sender(),
        [this]() -> const peers::peer_table& { return group.table(); },
        [this] { return context.state.stopping; },
        [this](policy::group_role role, const peers::roster& value) {
            on_roster(role, value);
        }};
}

void instance::impl::on_roster(
    policy::group_role role, const peers::roster& value) {
    switch (role) {
    case policy::group_role::flat:
        group.become_flat();
        documents.set_scope(document_scope::everything);
        break;
    case policy::group_role::super_peer:
        group.lead(value.super_peers, value.instances);
        documents.use_fleet_pace();
        documents.set_scope(document_scope::everything);
        break;
    case policy::group_role::leaf:
        group.follow(value.super_peers, value.instances);
        documents.set_scope(document_scope::configuration);
        break;
    }
    update_group_size();
}

void instance::impl::on_servers_known() {
    context.state.servers.partial = false;
}

void instance::impl::on_servers_forgotten() {
    traffic::become_partial(context.state.servers);
    context.state.versions = {};
}

void instance::impl::update_group_size() {
    context.state.instances =
        policy::assumed_instances(peers::instances(group.table()));
    if (has_been_large || !placer.active())
        return;
    has_been_large = true;
    documents.use_large_group_pace();
    context.queue.set_min_wake_interval(min_query_interval);
}

std::string instance::impl::reader_of_demand() const {
    if (!placer.active())
        return {};
    return policy::demand_report_target(
        settings.peer.host, peers::staying(group.table(), {}),
        peers::staying(group.table(), settings.data_centre));
}

peers::heartbeat instance::impl::describe_here() {
    relay::refresh_streams(context);
    peers::heartbeat own = describe(context, !placer.active());
    own.configuration = documents.version(state::collection::configuration);
    own.servers = documents.version(state::collection::servers);
    return own;
}

bool instance::impl::looks_after_phases() const {
    return documents.knows_servers() &&
           policy::is_phase_balancer(
               settings.peer.host, peers::staying(group.table(), {}));
}

void instance::impl::on_heartbeat(
    const std::string& host, const peers::heartbeat& heartbeat) {
    take_heartbeat(context, host, heartbeat);
    update_group_size();
    documents.on_heartbeat(host, heartbeat);
}

policy::store_access instance::impl::store_access_here() const {
    if (!placer.active())
        return {};
    if (members_of_fleet.role() == policy::group_role::flat)
        return policy::flat_store_access(
            settings.peer.host, scheduler_hosts(settings.data_centre));
    std::vector<std::string> hosts;
    for (const policy::instance_info& member :
         members_of_fleet.table().view.super_peers)
        if (member.data_centre == settings.data_centre)
            hosts.push_back(member.host);
    return policy::super_peer_store_access(hosts, members_of_fleet.role());
}

} // namespace mintknot::runtime
