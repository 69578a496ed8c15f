/// @file
/// The scheduler of one service in one data centre: queue and reservations.
#ifndef MINTKNOT_ROUTING_SCHEDULER_HPP
#define MINTKNOT_ROUTING_SCHEDULER_HPP

#include <mintknot/routing/placement.hpp>

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace mintknot::routing {

/// How far a placed request has come, as its entry reports it.
enum class progress_phase {
    prefilling,
    prefilled, ///< The result waits or is being transferred.
    decoding,  ///< The transfer is over.
    finished,  ///< Nothing is held any more.
    prefill_failed,
    decode_failed,
};

/// One line of an entry's progress report.
struct progress {
    std::string attempt;
    progress_phase phase = progress_phase::prefilling;
    std::uint64_t cached_tokens = 0; ///< With prefilled: the engine's word.
};

/// What a placed request holds until its entry says otherwise.
struct reservation {
    place_query query;
    placement where;
    progress_phase phase = progress_phase::prefilling;
    std::uint64_t uncached_tokens = 0;
    base::steady_time placed_at;
    base::steady_time kept_alive_at;
};

/// A request that waits for room.
struct queued_request {
    std::uint64_t ticket = 0;
    place_query query;
    place_goal goal;
    base::steady_time queued_at;
    base::steady_time deadline;
};

/// What the scheduler answers to a query, now or later.
struct place_answer {
    enum class state { placed, queued, refused };

    state end = state::refused;
    std::uint64_t ticket = 0; ///< Queued: named again by the later answer.
    std::string attempt;      ///< Placed: names it in progress reports.
    placement where;
    std::string prefill_name;
    std::string decode_name;
    base::address prefill_at;
    base::address decode_at;
    base::refusal refused;
    audit::decision record;
};

struct scheduler_options {
    std::size_t most_queued = 256;
    /// An answer later than this many first-token targets is not worth its
    /// prefill; such a request is refused at once (docs/EXPERIMENTS.md).
    double latest_first_token = 1.0;
    /// Reservations of a silent entry are released after this.
    base::milliseconds keep_alive{3000};
    /// Prefixes known of all engines together; some 40 MB (docs/CAPACITY.md).
    std::size_t most_prefixes = 400000;
};

/// Soft state only: all of it can be lost and is rebuilt from engine reports
/// and progress reports.
struct scheduler {
    explicit scheduler(const scheduler_options& chosen);

    scheduler_options options;
    engine_table table;
    prefix_index prefixes;
    std::map<std::string, reservation> reservations; ///< By attempt.
    std::vector<queued_request> queue;               ///< Best first.
    std::uint64_t next_ticket = 1;
};

/// Places a request, queues it or refuses it.
place_answer place(
    scheduler& state, const place_query& query, const place_goal& goal,
    base::steady_time now);

/// Takes an entry's report; unknown attempts are ignored.
void take_progress(
    scheduler& state, const progress& report, base::steady_time now);

/// Takes an engine's load; a restarted engine holds nothing any more.
void take_engine_load(
    scheduler& state, const std::string& engine, const engine_load& load,
    base::steady_time now);

/// Releases silent reservations and answers queued requests that can be placed
/// now or whose time is over. @return answers with their tickets.
std::vector<place_answer> advance(scheduler& state, base::steady_time now);

} // namespace mintknot::routing

#endif
