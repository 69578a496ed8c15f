/// @file
/// Keeps this instance's copy of the documents up to date with the store and
/// with peers.
#ifndef MINTKNOT_RUNTIME_DOCUMENT_SYNC_HPP
#define MINTKNOT_RUNTIME_DOCUMENT_SYNC_HPP

#include "lapsed_servers.hpp"
#include "peer_feed.hpp"
#include "shared_store.hpp"
#include "snapshot_fetcher.hpp"

#include <mintknot/policy/history_wait.hpp>
#include <mintknot/policy/staleness_bounds.hpp>
#include <mintknot/state/store_reader.hpp>

#include <functional>
#include <string>
#include <vector>

namespace mintknot::runtime {

/// Dependencies of document_sync. They must outlive it.
struct document_ports {
    event::loop& loop;
    state::store& store;
    const state::document_codec& codec;
    upstream::connection_pool& pool;
    logging::line_log& log;
    std::function<double()> draw; ///< Uniform in [0, 1).
};

struct document_options {
    base::address peer; ///< Of this instance; all use the same port.
    std::string data_centre;
    base::milliseconds drain_bound;         ///< See instance_settings.
    base::milliseconds configuration_bound; ///< Likewise.
    std::function<policy::store_access()> store_access;
    bool has_peers = false; ///< Others may know more than a restored store.
};

/// Functions that are called when documents change.
struct document_handlers {
    std::function<void(std::shared_ptr<const traffic::configuration>)>
        on_configuration;
    /// Removals are delayed if the row may only have lapsed (lapsed_servers).
    std::function<void(
        const std::string& id, std::uint64_t version,
        std::optional<traffic::server>)>
        on_server;
    /// @return how many servers are in use.
    std::function<std::size_t()> servers_in_use;
    /// The known configuration was the newest at that time.
    std::function<void(base::steady_time)> on_confirmed;
    /// The server table is complete.
    std::function<void()> on_servers_known{};
    /// The known server table was up to date at that time.
    std::function<void(base::steady_time)> on_servers_confirmed{};
    /// See state::replica_handlers.
    std::function<void(const std::string& data_centre, bool closed)>
        on_closure{};
    /// See state::replica_handlers.
    std::function<void(const std::string& id)> on_draining{};
    /// The servers told of so far are not followed any longer.
    std::function<void()> on_servers_forgotten{};
};

/// Which collections an instance reads.
enum class document_scope {
    everything,
    configuration ///< No servers: schedulers place the requests.
};

/// Follows the store directly or, in a large group, through readers; fetches
/// snapshots from peers that have a newer version; answers requests of peers.
///
/// The first configuration of a store that was restored from a backup is held
/// back until a peer has told what the backup may lack, or for
/// policy::max_history_wait(). Log event: `history_awaited`.
class document_sync {
public:
    document_sync(
        const document_ports& ports, const document_options& options,
        document_handlers handlers);
    document_sync(const document_sync&) = delete;
    document_sync& operator=(const document_sync&) = delete;

    /// @param delay time until the store is first read, unless set_scope() is
    /// called earlier. Meanwhile heartbeats of peers may show what has to be
    /// read, and from whom.
    void start(base::milliseconds delay);
    void stop();
    /// Changes which collections are read.
    void set_scope(document_scope scope);
    /// Adapts to a large group: watches at the store are held longer, and the
    /// instance waits longer for readers.
    void use_large_group_pace();
    /// Adapts to a group with super-peers: among thousands of servers some
    /// change each second, so changes are fetched less often.
    void use_fleet_pace();
    void
    on_heartbeat(const std::string& host, const peers::heartbeat& heartbeat);
    /// Answers an HTTP request of another instance.
    void answer(const http1::request_head& head, relay::local_reply reply);

    /// @return the newest known version of a collection.
    std::uint64_t version(state::collection what) const;
    /// @return true once the configuration and the servers have been read.
    bool known() const;
    /// @return true if all servers have been read and changes are followed.
    bool knows_servers() const;
    /// @return the time since the store or a reader last answered.
    base::milliseconds silence() const;

private:
    state::replica_handlers make_replica_handlers();
    void take(std::shared_ptr<const traffic::configuration> config);
    /// @return true while a peer may know more than the store that was read.
    bool awaits_history() const;
    void release_configuration();
    void on_snapshot_taken();
    const state::store_reader& reader_of(state::collection what) const;
    /// See shared_store_options.
    std::optional<base::steady_time> overdue_from(state::collection what) const;
    void on_configuration_position();
    void on_server_position();
    void start_reading();
    void resume_following_servers();
    void stop_following_servers();
    relay::local_answer snapshot(const std::vector<state::collection>& parts);

    event::loop& owner_;
    logging::line_log& log_;
    base::milliseconds drain_bound_;
    policy::staleness_bounds configuration_bounds_;
    policy::staleness_bounds server_bounds_;
    bool reading_ = false;
    document_scope scope_ = document_scope::everything;
    bool catching_up_ = false; ///< Reads servers again after a pause.
    document_handlers handlers_;
    state::replica replica_;
    shared_store store_;
    state::store_reader configuration_reader_;
    state::store_reader server_reader_;
    peer_feed feed_;
    lapsed_servers lapsed_;
    snapshot_fetcher fetcher_;
    event::timer start_delay_;
    std::shared_ptr<const traffic::configuration> held_configuration_;
    base::steady_time held_since_{};
    event::timer history_timer_;
    policy::told_history told_history_ = policy::told_history::nothing;
    bool has_peers_;
    bool history_wait_over_ = false;
    /// Until when the snapshots sent so far use up the budget.
    base::steady_time snapshot_budget_used_until_{};
};

} // namespace mintknot::runtime

#endif
