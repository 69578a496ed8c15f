/// @file
/// Fetches snapshots from peers that have newer documents.
#ifndef MINTKNOT_RUNTIME_SNAPSHOT_FETCHER_HPP
#define MINTKNOT_RUNTIME_SNAPSHOT_FETCHER_HPP

#include <mintknot/peers/heartbeat.hpp>
#include <mintknot/state/replica.hpp>
#include <mintknot/upstream/call.hpp>

#include <memory>
#include <optional>
#include <string>

namespace mintknot::runtime {

/// The path of the snapshot of all collections.
inline constexpr std::string_view snapshot_path = "/mintknot/v1/snapshot";
/// The path of the snapshot of the configuration only.
inline constexpr std::string_view configuration_snapshot_path =
    "/mintknot/v1/snapshot/configuration";

/// Compares the versions in heartbeats with those of this instance. If a peer
/// remains ahead for some time, its snapshot is fetched. Normally the changes
/// arrive from the store first and nothing is fetched. The wait is longer for
/// peers of other data centres, because traffic between data centres is billed.
class snapshot_fetcher {
public:
    /// @param on_taken called after each snapshot that was taken.
    snapshot_fetcher(
        event::loop& owner, upstream::connection_pool& pool,
        state::replica& target, logging::line_log& log, std::uint16_t port,
        std::string data_centre, std::function<void()> on_taken);

    /// Sets how long to wait for changes of servers from the store before a
    /// snapshot is fetched: at least the time for which changes are collected.
    void set_server_patience(base::milliseconds patience);
    void
    on_heartbeat(const std::string& host, const peers::heartbeat& heartbeat);

private:
    /// Since when peers have had a newer version of a collection.
    struct lag {
        std::optional<base::steady_time> since;
        /// @return true if peers have been ahead for at least `patience`.
        bool
        lasts(bool ahead, base::steady_time now, base::milliseconds patience);
    };

    bool is_ahead(state::collection what, std::uint64_t version) const;
    void fetch(const std::string& host, std::string_view path);
    void finish(const std::string& host, bool complete);

    event::loop& owner_;
    upstream::connection_pool& pool_;
    state::replica& target_;
    logging::line_log& log_;
    std::uint16_t port_;
    std::string data_centre_;
    std::function<void()> on_taken_;
    std::unique_ptr<upstream::call> call_;
    event::timer limit_;
    std::string body_;
    int status_ = 0;
    base::milliseconds server_patience_{150};
    lag configuration_lag_;
    lag servers_lag_;
    base::steady_time last_fetch_{};
};

} // namespace mintknot::runtime

#endif
