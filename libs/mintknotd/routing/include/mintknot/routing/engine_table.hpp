/// @file
/// What a scheduler knows of the engines of one service.
#ifndef MINTKNOT_ROUTING_ENGINE_TABLE_HPP
#define MINTKNOT_ROUTING_ENGINE_TABLE_HPP

#include <mintknot/base/address.hpp>
#include <mintknot/base/time.hpp>
#include <mintknot/config/catalogue.hpp>
#include <mintknot/engine/orders.hpp>
#include <mintknot/routing/line_fit.hpp>
#include <mintknot/routing/prefix_index.hpp>

#include <cstdint>
#include <string>
#include <unordered_map>
#include <vector>

namespace mintknot::routing {

/// The load of an engine as its watcher read it.
struct engine_load {
    std::uint64_t incarnation = 0;
    std::uint64_t kv_used = 0;
    std::uint64_t kv_capacity = 0;
    std::uint64_t running = 0;
    std::uint64_t queued_prefill = 0;
    double step_ms = 0.0;
    bool leaving = false;
    bool reachable = true;
    base::steady_time read_at; ///< Epoch: never read.
};

/// One engine: its configuration, its load, and what this scheduler placed.
struct engine_entry {
    std::string name;
    base::address where;
    std::string pool;
    config::pool_role role = config::pool_role::both;
    double link_tokens_per_second = 0.0;
    double most_ejected = 0.5;
    bool listed = false;  ///< In the current configuration.
    bool leaving = false; ///< By the operator's word.

    engine_load load;
    double prefill_rate = 0.0; ///< Learned, in tokens per second.
    line_fit step_time;        ///< Milliseconds over running sequences.
    base::steady_time last_prefill_end;

    std::uint64_t pending_prefill = 0; ///< Uncached tokens placed, not done.
    std::uint64_t reserved = 0;        ///< Decode memory promised, in tokens.
    std::uint32_t decoding = 0;        ///< Requests placed for decode.
    std::uint32_t exporting = 0;       ///< Transfers that leave from here.

    int failures = 0; ///< In a row.
    int ejections = 0;
    base::steady_time ejected_until;
};

/// The engines of one service in one data centre. Numbers stay with a name for
/// the table's life.
struct engine_table {
    std::vector<engine_entry> engines;
    std::unordered_map<std::string, engine_number> by_name;
};

/// Brings the table in line with the configuration.
void follow_configuration(
    engine_table& table, const config::catalogue& current,
    const std::string& service, const std::string& data_centre);

/// Adds the servers of one more data centre to those that are listed.
void add_listed(
    engine_table& table, const config::catalogue& current,
    const std::string& service, const std::string& data_centre);

/// @return the engine of that name, or nullptr.
engine_entry* find_engine(engine_table& table, const std::string& name);

/// Takes a newer load. @return true if the engine restarted since the last.
bool take_load(engine_entry& engine, const engine_load& load);

/// Notes a failed order. After some in a row the engine gets no new work for
/// a while, as long as the pool's bound on ejected engines allows.
void note_failure(
    engine_table& table, engine_entry& engine, base::steady_time now);
void note_success(engine_entry& engine);

/// @return why the engine gets no new work, or an empty text.
std::string_view
unusable_because(const engine_entry& engine, base::steady_time now) noexcept;

bool can_prefill(const engine_entry& engine) noexcept;
bool can_decode(const engine_entry& engine) noexcept;

/// @return the decode memory that is free, in tokens: the smaller of what the
/// report and what our own reservations leave.
std::uint64_t free_memory(const engine_entry& engine) noexcept;

} // namespace mintknot::routing

#endif
