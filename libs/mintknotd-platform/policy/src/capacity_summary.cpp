#include "selection_scope.hpp"

#include <mintknot/policy/memory_profile.hpp>

#include <algorithm>

namespace mintknot::policy {

namespace {

/// @return the memory of one engine for the forecast.
/// @param limit until the request fits on another engine; later times do not
/// matter.
engine_memory memory_for_forecast(
    const selection_inputs& inputs, const traffic::server_load& load,
    const decode_request& wanted, base::milliseconds limit) {
    const memory_use use = memory_use_of(inputs, load, wanted);
    engine_memory memory{use.usable - use.before, use.before};
    if (!wanted.profile)
        return memory;
    memory.fits_in =
        time_until_fit(load, *wanted.profile, use.usable, inputs.now, limit);
    // Later: what is missing, at the release rate.
    memory.free = use.usable - use.after + wanted.memory_tokens;
    if (!memory.fits_in)
        memory.usable_in = limit;
    return memory;
}

} // namespace

capacity_summary summarize_capacity(
    const selection_inputs& inputs, const decode_request& wanted) {
    capacity_summary summary;
    std::vector<engine_memory> memories;
    const double memory = engine_memory_of(inputs);
    base::milliseconds soonest = max_fit_time;
    for (const traffic::server* engine :
         traffic::open_servers(inputs.servers, inputs.service.name)) {
        if (!decode_phase(engine->phase) || !in_scope(inputs, *engine))
            continue;
        ++summary.engines;
        engine_memory state = memory_for_forecast(
            inputs, traffic::total(inputs.loads, engine->id), wanted, soonest);
        const base::milliseconds unavailable_for = std::max(
            avoided_for(inputs.health, engine->id, inputs.now),
            time_until_token(inputs.health.limits, engine->id, inputs.now));
        state.usable_in = std::max(state.usable_in, unavailable_for);
        if (state.fits_in)
            soonest =
                std::min(soonest, std::max(*state.fits_in, unavailable_for));
        memories.push_back(state);
        if (unavailable_for > base::milliseconds{0})
            ++summary.avoided;
        else
            summary.max_free_tokens =
                std::max(summary.max_free_tokens, memory - state.held);
    }
    summary.forecast = forecast_capacity(
        memories, wanted.memory_tokens, inputs.mean_hold_time);
    return summary;
}

} // namespace mintknot::policy
