/// @file
/// Fetches what a peer knows better.
#ifndef MINTKNOT_RUNTIME_SNAPSHOT_FETCHER_HPP
#define MINTKNOT_RUNTIME_SNAPSHOT_FETCHER_HPP

#include <mintknot/peers/heartbeat.hpp>
#include <mintknot/state/replica.hpp>
#include <mintknot/upstream/call.hpp>

#include <memory>
#include <optional>
#include <string>

namespace mintknot::runtime {

/// The path under which instances give each other their snapshots.
inline constexpr std::string_view snapshot_path = "/mintknot/v1/snapshot";
/// The same with the configuration only.
inline constexpr std::string_view configuration_snapshot_path =
    "/mintknot/v1/snapshot/configuration";

/// Compares versions in heartbeats with the own ones. A peer that stays ahead
/// for a moment is asked for its snapshot: normally the store's own news come
/// first, and nothing is fetched. A peer of another data centre is waited for
/// longer: bytes between data centres have a price.
class snapshot_fetcher {
public:
    snapshot_fetcher(
        event::loop& owner, upstream::connection_pool& pool,
        state::replica& target, logging::line_log& log, std::uint16_t port,
        std::string data_centre);

    /// How long the store's own news of servers are waited for: no less than
    /// changes are gathered.
    void set_server_patience(base::milliseconds patience);
    void
    on_heartbeat(const std::string& host, const peers::heartbeat& heartbeat);

private:
    /// Since when peers have been ahead in one collection.
    struct lag {
        std::optional<base::steady_time> since;
        /// @return true if a peer has been ahead for so long.
        bool
        lasts(bool ahead, base::steady_time now, base::milliseconds patience);
    };

    bool is_ahead(state::collection what, std::uint64_t version) const;
    void fetch(const std::string& host, std::string_view path);
    void finish(const std::string& host, bool whole);

    event::loop& owner_;
    upstream::connection_pool& pool_;
    state::replica& target_;
    logging::line_log& log_;
    std::uint16_t port_;
    std::string data_centre_;
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
