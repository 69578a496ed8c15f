#include <mintknot/routing/engine_table.hpp>

#include <algorithm>

namespace mintknot::routing {

namespace {

constexpr int failures_to_eject = 3;
constexpr base::milliseconds first_ejection{2000};
constexpr int most_doublings = 4;

engine_entry& entry_for(engine_table& table, const std::string& name) {
    const auto position = table.by_name.find(name);
    if (position != table.by_name.end())
        return table.engines[position->second];
    const auto number = static_cast<engine_number>(table.engines.size());
    table.by_name.emplace(name, number);
    table.engines.emplace_back();
    table.engines.back().name = name;
    return table.engines.back();
}

/// @return whether one more engine of the pool may be ejected.
bool may_eject(
    const engine_table& table, const engine_entry& engine,
    base::steady_time now) {
    std::size_t members = 0;
    std::size_t ejected = 0;
    for (const engine_entry& other : table.engines) {
        if (!other.listed || other.pool != engine.pool)
            continue;
        ++members;
        ejected += other.ejected_until > now ? 1 : 0;
    }
    const double share =
        static_cast<double>(ejected + 1) / static_cast<double>(members);
    return members > 0 && share <= engine.most_ejected;
}

} // namespace

void follow_configuration(
    engine_table& table, const config::catalogue& current,
    const std::string& service, const std::string& data_centre) {
    for (engine_entry& engine : table.engines)
        engine.listed = false;
    add_listed(table, current, service, data_centre);
}

void add_listed(
    engine_table& table, const config::catalogue& current,
    const std::string& service, const std::string& data_centre) {
    for (const auto& [name, server] : current.backend_servers()) {
        const auto pool = current.pool(server->spec.pool);
        if (!pool || pool->spec.service != service ||
            server->spec.data_centre != data_centre)
            continue;
        engine_entry& engine = entry_for(table, name);
        engine.where = server->spec.where;
        engine.pool = server->spec.pool;
        engine.role = pool->spec.role;
        engine.link_tokens_per_second = server->spec.link_tokens_per_second;
        engine.most_ejected = pool->spec.most_ejected;
        engine.leaving = server->spec.leaving;
        engine.listed = true;
        if (engine.prefill_rate <= 0.0)
            engine.prefill_rate = server->spec.prefill_tokens_per_second;
    }
}

engine_entry* find_engine(engine_table& table, const std::string& name) {
    const auto position = table.by_name.find(name);
    if (position == table.by_name.end())
        return nullptr;
    return &table.engines[position->second];
}

bool take_load(engine_entry& engine, const engine_load& load) {
    if (load.read_at < engine.load.read_at)
        return false;
    const bool restarted = engine.load.incarnation != 0 &&
                           load.incarnation != 0 &&
                           load.incarnation != engine.load.incarnation;
    const std::uint64_t known_capacity = engine.load.kv_capacity;
    engine.load = load;
    if (!load.reachable && load.kv_capacity == 0)
        engine.load.kv_capacity = known_capacity;
    if (load.running > 0 && load.step_ms > 0.0)
        observe(
            engine.step_time, static_cast<double>(load.running), load.step_ms);
    return restarted;
}

void note_failure(
    engine_table& table, engine_entry& engine, base::steady_time now) {
    ++engine.failures;
    const bool ejected = engine.ejected_until > now;
    if (engine.failures < failures_to_eject || ejected ||
        !may_eject(table, engine, now))
        return;
    const int doublings = std::min(engine.ejections, most_doublings);
    engine.ejected_until = now + first_ejection * (1 << doublings);
    ++engine.ejections;
    engine.failures = 0;
}

void note_success(engine_entry& engine) {
    engine.failures = 0;
    engine.ejections = 0;
}

std::string_view
unusable_because(const engine_entry& engine, base::steady_time now) noexcept {
    if (!engine.listed)
        return "not configured";
    if (engine.leaving || engine.load.leaving)
        return "leaving";
    if (engine.ejected_until > now)
        return "ejected after failures";
    // Plain servers make no reports.
    if (engine.role == config::pool_role::plain)
        return {};
    if (engine.load.read_at == base::steady_time{})
        return "no report yet";
    if (!engine.load.reachable)
        return "out of reach";
    return {};
}

bool can_prefill(const engine_entry& engine) noexcept {
    return engine.role == config::pool_role::prefill ||
           engine.role == config::pool_role::both;
}

bool can_decode(const engine_entry& engine) noexcept {
    return engine.role == config::pool_role::decode ||
           engine.role == config::pool_role::both;
}

std::uint64_t free_memory(const engine_entry& engine) noexcept {
    const std::uint64_t used = std::max(engine.load.kv_used, engine.reserved);
    const std::uint64_t capacity = engine.load.kv_capacity;
    return used >= capacity ? 0 : capacity - used;
}

} // namespace mintknot::routing
