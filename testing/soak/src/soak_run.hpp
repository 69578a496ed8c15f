/// @file
/// One soak: load, faults from outside, checks.
#ifndef MINTKNOT_SOAK_SOAK_RUN_HPP
#define MINTKNOT_SOAK_SOAK_RUN_HPP

#include "connection_skews.hpp"
#include "server_cuts.hpp"
#include "soak_checks.hpp"

#include <mintknot/base/time.hpp>

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace mintknot::soak {

/// Engines are replaced in turn by ones of another software version.
struct rollout {
    base::milliseconds at; ///< When the first one is drained.
    std::string version;
};

struct soak_options {
    std::uint64_t seed = 1;
    base::milliseconds length{8000};
    std::size_t instances = 3;
    std::size_t callers = 20;
    base::milliseconds caller_pause{120}; ///< Mean, between two requests.
    /// One after the other. Callers connect to instances directly then, and try
    /// once more where their first attempt was not read.
    std::vector<connection_skew> skews;
    /// Of a core, that each instance gets under load; zero: no bound.
    double processor_share = 0.0;
    /// Only planned work: SIGTERM to instances and servers, SIGHUP, new
    /// configurations.
    bool planned_only = false;
    /// Of all faults only: instances stand still and servers are killed.
    bool suspensions = false;
    /// No work and no faults at all.
    bool undisturbed = false;
    /// For each kind a request that crashes every server that runs it comes
    /// again and again, at all instances in turn.
    std::vector<request_kind> crashing;
    /// For each kind unlike requests with one part in their prompts that
    /// crashes engines come at all instances in turn, from parts_begin on.
    std::vector<request_kind> crashing_parts;
    base::milliseconds parts_begin{3000};
    /// Servers, by number, that say in answers only that they leave, and that
    /// ask for rest, from a second after the start on.
    std::vector<std::size_t> say_leaving;
    std::vector<std::size_t> ask_rest;
    /// Requests per second that servers advertise in answers, by server number,
    /// from one second after the start.
    std::map<std::size_t, std::string> advertised_limits;
    /// Time after the start when they stop advertising them; zero: never.
    base::milliseconds limits_end{0};
    /// Times after the start at which the store is restored from a backup some
    /// seconds old. Shortly before each, a configuration is written and a
    /// server begins to drain.
    std::vector<base::milliseconds> restores;
    std::size_t decode_engines = 3;
    std::size_t plain_servers = 2;
    /// Callers compete for scarce decode memory; see group_form.
    bool scarce_capacity = false;
    /// Cuts of instances from servers; instances reach servers over links of
    /// their own then.
    std::vector<server_cut> cuts;
    /// Draws cuts by the seed in place of the given ones.
    bool random_cuts = false;
    std::size_t data_centres = 1;
    std::vector<rollout> rollouts; ///< They may overlap.
    bool take_ups = false; ///< Callers take up resumable streams that break.
    /// Between two events of a stream; zero: as the stand-in has it.
    base::milliseconds event_time{0};
    /// Engines pause in the middle of some streams and go on; zero: never.
    base::milliseconds pause{0};
    std::size_t unused_routes = 0; ///< In each configuration.
    /// When half of the instances, and two engines, are killed.
    std::vector<base::milliseconds> instance_kills;
    /// When all instances are killed at once.
    std::vector<base::milliseconds> group_kills;
    /// When half of the instances get SIGTERM.
    std::vector<base::milliseconds> instance_stops;
    std::vector<base::milliseconds> engine_kills;
    /// Every second answer of a server has neither a length nor chunks, and
    /// every second caller speaks HTTP/1.0.
    bool answers_without_length = false;
    /// One answer of a server in four is faulty: no answer of HTTP, without a
    /// seal, cut by a reset, or without end.
    bool faulty_answers = false;
    /// Crowds of clients that do not keep to the limits come one after another,
    /// at random instances.
    bool crowds = false;
    std::chrono::seconds grace{4}; ///< That an instance has to stop.
    bool keep_logs = false;        ///< Also where no promise was broken.
    /// Another writer puts malformed rows into the table of servers.
    bool foreign_rows = false;
    /// Instances place requests through schedulers, as large groups do.
    bool schedulers = false;
    /// Larger groups have super-peers; 0: as the program is built.
    std::size_t max_flat_group = 0;
    /// Path of an earlier build that all instances begin with: they are
    /// replaced one after the other under load. Empty: none.
    std::string earlier_program;
};

struct soak_result {
    std::vector<std::string> broken; ///< Promises, a line each.
    std::vector<std::string> faults; ///< What was done, with its time.
    std::vector<std::string> cuts;   ///< Likewise.
    /// What callers got during cuts from all servers, a line each.
    std::vector<std::string> served_during_cuts;
    /// What callers got before and during skews, a line each.
    std::vector<std::string> served_during_skews;
    /// What became of requests with parts that crash engines, a line each.
    std::vector<std::string> parts;
    /// What became of streams while several versions served; empty: there was
    /// one.
    std::string versions;
    /// Request rates that servers with limits received, a line each.
    std::vector<std::string> measured_rates;
    /// Directory with settings, logs and ledger, kept where a promise was
    /// broken; else empty.
    std::string logs;
    std::size_t foreign_rows = 0; ///< That the store has taken.
    std::size_t requests = 0;
    std::size_t answered = 0; ///< With success and whole.
    std::size_t refused = 0;  ///< 503.
    std::size_t left = 0;     ///< By callers that left early.
};

/// Sets engine versions, rollouts that overlap and lead back to the first
/// version, and kills of half of the instances, over the length of a soak.
void plan_versions(soak_options& options);

/// Sets engines that pause in the middle of streams, rollouts of engine
/// versions and large configurations, over the length of a soak.
void plan_pauses(soak_options& options);

/// Runs a system under load, does random harm to it, ends the harm, waits
/// until it serves every kind of request again, and checks the promises.
soak_result run_soak(const soak_options& options);

} // namespace mintknot::soak

#endif
