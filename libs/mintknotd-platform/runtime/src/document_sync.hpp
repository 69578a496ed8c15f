/// @file
/// Keeps this instance's documents in step with the store and with peers.
#ifndef MINTKNOT_RUNTIME_DOCUMENT_SYNC_HPP
#define MINTKNOT_RUNTIME_DOCUMENT_SYNC_HPP

#include "lapsed_servers.hpp"
#include "peer_feed.hpp"
#include "shared_store.hpp"
#include "snapshot_fetcher.hpp"

#include <mintknot/policy/staleness_bounds.hpp>
#include <mintknot/state/store_reader.hpp>

#include <functional>
#include <string>
#include <vector>

namespace mintknot::runtime {

/// What documents come through. Everything outlives the object.
struct document_ports {
    event::loop& loop;
    state::store& store;
    const state::document_codec& codec;
    upstream::connection_pool& pool;
    logging::line_log& log;
    std::function<double()> draw; ///< Uniform in [0, 1).
};

struct document_options {
    base::address peer; ///< The own one; all instances use the same port.
    std::string data_centre;
    base::milliseconds drain_bound;         ///< See instance_settings.
    base::milliseconds configuration_bound; ///< Likewise.
    std::function<policy::store_access()> store_access;
};

/// Whom the object tells of changes.
struct document_handlers {
    std::function<void(std::shared_ptr<const traffic::configuration>)>
        on_configuration;
    /// Removals come late where the row may only have lapsed.
    std::function<void(
        const std::string& id, std::uint64_t version,
        std::optional<traffic::server>)>
        on_server;
    /// @return how many servers are in use.
    std::function<std::size_t()> servers_in_use;
    /// Nothing newer than the configuration existed at that moment.
    std::function<void(base::steady_time)> on_confirmed;
    /// All servers are known, as of one moment.
    std::function<void()> on_servers_known{};
    /// The servers were as they are known here at that moment.
    std::function<void(base::steady_time)> on_servers_confirmed{};
    /// See state::replica_handlers.
    std::function<void(const std::string& data_centre, bool closed)>
        on_closure{};
    /// See state::replica_handlers.
    std::function<void(const std::string& id)> on_draining{};
};

/// What an instance reads.
enum class document_scope {
    everything,
    configuration ///< Not the servers: others place its requests.
};

/// Follows the store: directly, or through the readers of a large group; takes
/// from peers what the store does not tell; answers peers that ask.
class document_sync {
public:
    document_sync(
        const document_ports& ports, const document_options& options,
        document_handlers handlers);
    document_sync(const document_sync&) = delete;
    document_sync& operator=(const document_sync&) = delete;

    /// @param hold how long the store is not read yet, unless set_scope() comes
    /// before: peers may tell what to read, and what from them.
    void start(base::milliseconds hold);
    void stop();
    /// Changes what is read from now on.
    void set_scope(document_scope scope);
    /// From now on the group is large: watches at the store are held longer,
    /// and readers are waited for.
    void use_large_group_pace();
    /// From now on there are super-peers: changes of servers, of which a fleet
    /// of thousands has some each second, are fetched more rarely.
    void use_fleet_pace();
    void
    on_heartbeat(const std::string& host, const peers::heartbeat& heartbeat);
    /// Answers another instance.
    void answer(const http1::request_head& head, relay::local_reply reply);

    /// @return the newest version that is known of a collection.
    std::uint64_t version(state::collection what) const;
    /// @return true once the configuration and the servers have been read.
    bool known() const;
    /// @return true once all servers have been read, and are followed.
    bool knows_servers() const;
    /// @return how long ago the store, or a reader, last answered.
    base::milliseconds silence() const;

private:
    state::replica_handlers replica_functions();
    const state::store_reader& reader_of(state::collection what) const;
    /// See shared_store_options.
    std::optional<base::steady_time> overdue_from(state::collection what) const;
    void on_configuration_position();
    void on_server_position();
    void begin();
    void follow_servers_again();
    relay::local_answer snapshot(const std::vector<state::collection>& parts);

    event::loop& owner_;
    base::milliseconds drain_bound_;
    policy::staleness_bounds configuration_news_;
    policy::staleness_bounds server_news_;
    bool reads_ = false;
    document_scope scope_ = document_scope::everything;
    bool catching_up_ = false; ///< With servers, after a time without them.
    document_handlers handlers_;
    state::replica replica_;
    shared_store store_;
    state::store_reader configuration_reader_;
    state::store_reader server_reader_;
    peer_feed feed_;
    lapsed_servers lapsed_;
    snapshot_fetcher fetcher_;
    event::timer hold_;
    /// When the snapshots that were given will have been paid for.
    base::steady_time snapshots_paid_{};
};

} // namespace mintknot::runtime

#endif
