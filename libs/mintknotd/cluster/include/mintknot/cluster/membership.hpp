/// @file
/// Which instances are alive, learned from heartbeats.
#ifndef MINTKNOT_CLUSTER_MEMBERSHIP_HPP
#define MINTKNOT_CLUSTER_MEMBERSHIP_HPP

#include <mintknot/base/address.hpp>
#include <mintknot/base/request_id.hpp>
#include <mintknot/base/time.hpp>
#include <mintknot/routing/engine_table.hpp>

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace mintknot::cluster {

enum class member_state { starting, ready, leaving };

/// One run of an instance, as it is known here.
struct member {
    base::instance_id id;
    base::address rpc;
    base::address heartbeat;
    member_state state = member_state::starting;
    std::uint64_t applied_revision = 0; ///< Of the configuration.
    base::steady_time last_heard;       ///< Of it or, by others, about it.
};

/// The load of an engine, as its watcher passes it on.
struct named_load {
    std::string engine;
    routing::engine_load load;
};

/// What instances tell each other in a datagram.
struct heartbeat {
    member sender;
    std::vector<named_load> loads; ///< New since the last heartbeat.
    std::vector<member> known;     ///< Others; last_heard tells how fresh.
};

struct membership_options {
    base::milliseconds interval{500};
    base::milliseconds gone_after{3000};
    std::vector<base::address> seeds;
};

/// Plain state of the control thread.
struct membership {
    membership_options options;
    member self;
    std::map<std::string, member> others; ///< By "data-centre.name".
    /// Members of other data centres that were heard of since the last
    /// heartbeat, to be passed on within the own data centre.
    std::vector<member> to_relay;
    std::uint64_t beats = 0;
    /// Set when the own state has changed: the next beat tells every data
    /// centre at once, whoever the delegate is.
    bool announce = false;
};

/// A datagram to be sent.
struct outgoing {
    base::address where;
    heartbeat content;
};

/// Heartbeats that are due now: to everyone in the own data centre, to seeds
/// that are not known yet, and for each other data centre, if this instance is
/// the delegate for it, a digest of the own one to two of its members.
std::vector<outgoing> beat(
    membership& state, const std::vector<named_load>& loads,
    base::steady_time now);

/// The time until the next beat. It grows with the number of instances in the
/// data centre, so that the bytes sent stay bounded.
base::milliseconds beat_interval(const membership& state);

/// Takes a heartbeat. Older incarnations are ignored.
void take_heartbeat(
    membership& state, const heartbeat& received, base::steady_time now);

/// @return the instances that were heard of lately, with this one, in the
/// order of their names.
std::vector<member> live(const membership& state, base::steady_time now);

/// @return whether that very run of an instance was heard of lately.
bool is_alive(
    const membership& state, const base::instance_id& id,
    base::steady_time now);

/// @return names ("data-centre.name") of ready instances of a data centre; if
/// it has none, of those that were starting; if none either, of ready ones of
/// all data centres.
std::vector<std::string>
ready_names(const std::vector<member>& members, const std::string& data_centre);

/// @return "data-centre.name".
std::string name_of(const member& value);

} // namespace mintknot::cluster

#endif
