/// @file
/// The components of an instance.
#ifndef MINTKNOT_RUNTIME_INSTANCE_IMPL_HPP
#define MINTKNOT_RUNTIME_INSTANCE_IMPL_HPP

#include "document_sync.hpp"
#include "limit_sharing.hpp"
#include "overload_sharing.hpp"
#include "repeat_lending.hpp"
#include "settings_watch.hpp"

#include <mintknot/crashes/crash_watch.hpp>
#include <mintknot/limits/usage_accounts.hpp>
#include <mintknot/orders/demand_sharing.hpp>
#include <mintknot/orders/phase_balancer.hpp>
#include <mintknot/origins/origin_directory.hpp>
#include <mintknot/peers/membership.hpp>
#include <mintknot/peers/peer_group.hpp>
#include <mintknot/policy/domain.hpp>
#include <mintknot/relay/entry_server.hpp>
#include <mintknot/relay/load_shedder.hpp>
#include <mintknot/relay/local_server.hpp>
#include <mintknot/relay/server_connector.hpp>
#include <mintknot/relay/tunnel_server.hpp>
#include <mintknot/runtime/instance.hpp>
#include <mintknot/scheduling/remote_placer.hpp>

namespace mintknot::runtime {

/// Members are declared in the order of their dependencies. Construction and
/// callbacks are in instance_wiring.cpp, the role in the group in
/// instance_group.cpp, start and shutdown in instance.cpp, the metrics in
/// instance_metrics.cpp.
struct instance::impl {
    impl(instance_settings given, instance_ports outside);
    upstream::connect_function connect_to_servers();
    relay::connector_callbacks connector_functions();
    /// @return the peers that may be asked to connect to a server.
    std::vector<policy::tunnel_peer> tunnel_peers() const;
    document_handlers document_functions();
    void on_server(
        const std::string& id, std::uint64_t version,
        std::optional<traffic::server> server);
    /// @return a function that sends a datagram to the instance on a host.
    std::function<void(const std::string& host, const std::string& datagram)>
    datagram_sender();
    scheduling::placer_callbacks placer_functions();
    limits::usage_account_callbacks account_functions();
    crashes::crash_watch_callbacks crash_functions();
    origins::origin_callbacks origin_functions();
    /// @return the other instances that are heard and do not stop.
    std::vector<policy::instance_location> staying_peers() const;
    /// @return the only version that a service has had for as long as a stream
    /// of it may live; empty if that is not known.
    std::optional<std::string>
    only_version_of(const std::string& service) const;
    std::vector<std::string> crash_judges() const;
    /// @return hosts of the leaves that have joined this super-peer.
    std::vector<std::string> followers() const;
    std::vector<limits::group_peer> members() const;
    lending_ports lending_functions();
    overload_ports overload_functions();
    relay::shedder_callbacks shedder_functions();
    limit_ports limit_functions();
    std::vector<std::string>
    token_holders(const traffic::server& server, double rate) const;
    std::vector<std::string>
    limit_report_recipients(const traffic::server& server) const;
    /// @return the domains whose schedulers may place requests on the server.
    /// Leaves choose domains by data centre, other instances by the number of
    /// servers.
    std::vector<policy::domain>
    domains_containing(const traffic::server& server) const;
    std::vector<std::string>
    scheduler_hosts(const std::string& data_centre) const;
    bool uses_schedulers() const;
    orders::balancer_options balancer_options() const;
    peers::group_handlers group_functions();
    peers::membership_options membership_settings() const;
    peers::membership_handlers membership_functions();
    void on_roster(policy::group_role role, const peers::roster& value);
    void on_servers_known();
    void on_servers_forgotten();
    /// Adapts to the size of the group. Called when it may have changed.
    void update_group_size();
    peers::heartbeat describe_here();
    bool looks_after_phases() const;
    orders::sharing_ports sharing_functions();
    std::string reader_of_demand() const;
    void on_datagram(const std::string& host, std::string_view datagram);
    void
    on_heartbeat(const std::string& host, const peers::heartbeat& heartbeat);
    policy::store_access store_access_here() const;
    std::optional<relay::health_check> check_of(const std::string& id) const;

    bool ready() const;
    relay::local_answer readiness_answer() const;
    relay::local_answer metrics_answer();
    void set_connection_gauges();
    void set_group_gauges();
    void set_document_gauges();
    void set_limit_gauges();
    void set_crash_gauges();
    void set_overload_gauges();
    absl::Status open_addresses();
    void on_signal(int number);
    void take(const instance_settings& fresh, std::string_view cause);
    void on_delay(base::milliseconds delay);
    void begin_drain();
    void drain();
    void leave(base::milliseconds since);

    instance_settings settings;
    instance_ports ports;
    logging::line_log log;
    relay::relay_metrics metrics;
    upstream::connection_pool pool;
    relay::release_queue releases;
    relay::health_prober prober;
    relay::router_context context;
    relay::entry_server entry;
    relay::server_connector connector;
    relay::tunnel_server tunnels;
    relay::local_server readiness;
    relay::local_server metrics_server;
    relay::local_server peer_server;
    document_sync documents;
    peers::peer_group group;
    peers::membership members_of_fleet;
    scheduling::remote_placer placer;
    repeat_lending lending;
    limit_sharing server_limits;
    overload_sharing overloads;
    relay::load_shedder shedder;
    limits::usage_accounts accounts;
    crashes::crash_watch crashes;
    origins::origin_directory origins;
    orders::phase_balancer balancer;
    orders::demand_sharing demands;
    event::timer drain_timer;
    settings_watch reloads;
    bool has_been_large = false; ///< The group has been large at some time.
    /// Longest delay of the event loop since the start.
    base::milliseconds longest_delay{0};
};

} // namespace mintknot::runtime

#endif
