#include <mintknot/policy/memory_profile.hpp>
#include <mintknot/policy/selection.hpp>

namespace mintknot::policy {

memory_use memory_use_of(
    const selection_inputs& inputs, const traffic::server_load& load,
    const decode_request& wanted) {
    const double memory = static_cast<double>(
        inputs.service.engine ? inputs.service.engine->memory_tokens : 0);
    if (!wanted.profile)
        return {
            load.memory_tokens, load.memory_tokens + wanted.memory_tokens,
            memory * wanted.memory_share};
    const memory_peak peak = forecast_peak(load, *wanted.profile, inputs.now);
    // Without a scheduler another instance may take the same memory before its
    // load is reported.
    const double unreported = inputs.all_loads_known || inputs.instances <= 1
                                  ? 0.0
                                  : wanted.memory_tokens;
    return {
        peak.held_now, peak.tokens, memory * profiled_memory_share - unreported,
        peak.in};
}

} // namespace mintknot::policy
