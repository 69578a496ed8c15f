/// @file
/// What is in flight at each backend server, from here and from peers.
#ifndef MINTKNOT_TRAFFIC_LOAD_VIEW_HPP
#define MINTKNOT_TRAFFIC_LOAD_VIEW_HPP

#include <mintknot/base/time.hpp>
#include <mintknot/traffic/memory_profile.hpp>

#include <optional>
#include <string>
#include <unordered_map>

namespace mintknot::traffic {

/// Work in flight at one server.
struct server_load {
    int calls = 0;
    double prefill_tokens = 0.0; ///< Prompt tokens that are still to be read.
    double memory_tokens = 0.0;  ///< KV cache reserved for running requests.
    /// Memory of the streams that are followed; what it does not cover of
    /// `memory_tokens` counts as held at all times.
    memory_profile profile{};

    bool empty() const noexcept { return calls <= 0; }
};

server_load& operator+=(server_load& left, const server_load& right) noexcept;
server_load& operator-=(server_load& left, const server_load& right) noexcept;

/// Loads by server ID.
using load_map = std::unordered_map<std::string, server_load>;

/// Own loads are exact; those of peers are as old as their last heartbeat and
/// lapse when a peer falls silent.
struct load_view {
    struct remote {
        load_map loads;
        base::steady_time heard;
    };
    load_map own;
    std::unordered_map<std::string, remote> peers;
    load_map of_peers; ///< Sum over all peers, kept by the functions below.
    /// When the first of the present peers was heard, others not being known.
    base::steady_time first_heard{};
    /// When a peer last reported a profile, by server.
    std::unordered_map<std::string, base::steady_time> profiles_reported;
};

/// How long a peer's last word counts.
inline constexpr base::milliseconds load_life{1500};

void add(load_view& view, const std::string& id, const server_load& load);
/// Takes back what add() added; empty entries are dropped.
void remove(load_view& view, const std::string& id, const server_load& load);

/// Replaces what a peer has in flight. The profiles of the loads start now.
void set_peer(
    load_view& view, const std::string& peer, load_map loads,
    base::steady_time now);

/// Adds to what a peer has in flight. The profiles of the loads start now.
void add_to_peer(
    load_view& view, const std::string& peer, const load_map& loads,
    base::steady_time now);

/// Drops peers that have fallen silent. Called before loads are looked at.
void expire(load_view& view, base::steady_time now);

/// @return own and peers' work at a server.
server_load total(const load_view& view, const std::string& id);

/// @return the age of the last report of a peer that had a profile for the
/// server; nothing if there is none.
std::optional<base::milliseconds> profile_age(
    const load_view& view, const std::string& id, base::steady_time now);

/// @return own work at a server.
server_load own(const load_view& view, const std::string& id);

} // namespace mintknot::traffic

#endif
