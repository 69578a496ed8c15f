#include <mintknot/policy/memory_profile.hpp>
#include <mintknot/policy/selection.hpp>

#include <algorithm>

namespace mintknot::policy {

namespace {

/// Within which all instances have reported their loads to a new scheduler.
constexpr base::milliseconds report_interval{500};
/// Below this share of the reports nothing can be said of the others.
constexpr double min_reported_share = 0.2;

/// @return the share of the loads that a scheduler knows of.
double reported_share(const selection_inputs& inputs) {
    const std::size_t reporters = inputs.loads.peers.size();
    if (!inputs.all_loads_known || reporters == 0 ||
        reporters >= inputs.instances)
        return 1.0;
    const std::chrono::duration<double> since =
        inputs.now - inputs.loads.first_heard;
    return std::clamp(
        since / std::chrono::duration<double>(report_interval), 0.0, 1.0);
}

/// @return the load of an engine if what was not reported is like what was.
traffic::server_load
whole_load(const traffic::server_load& known, double reported) {
    const double factor = 1.0 / reported;
    traffic::server_load whole = known;
    whole.memory_tokens *= factor;
    whole.profile.covered *= factor;
    const double unknown_streams = known.calls * (factor - 1.0);
    for (std::size_t i = 0; i < traffic::memory_profile::points; ++i) {
        const double size =
            known.calls > 0 ? known.profile.highest[i] / known.calls : 0.0;
        whole.profile.mean[i] *= factor;
        whole.profile.variance[i] =
            whole.profile.variance[i] * factor + unknown_streams * size * size;
        // More of them may be there than expected.
        whole.profile.highest[i] *= factor * factor;
    }
    return whole;
}

} // namespace

memory_use memory_use_of(
    const selection_inputs& inputs, const traffic::server_load& load,
    const decode_request& wanted) {
    const double memory = static_cast<double>(
        inputs.service.engine ? inputs.service.engine->memory_tokens : 0);
    if (!wanted.profile)
        return {
            load.memory_tokens, load.memory_tokens + wanted.memory_tokens,
            memory * wanted.memory_share};
    const double reported = reported_share(inputs);
    const memory_peak peak =
        reported < 1.0
            ? forecast_peak(
                  whole_load(load, std::max(reported, min_reported_share)),
                  *wanted.profile, inputs.now)
            : forecast_peak(load, *wanted.profile, inputs.now);
    // Without a scheduler another instance may take the same memory before its
    // load is reported.
    const double unreported = inputs.all_loads_known || inputs.instances <= 1
                                  ? 0.0
                                  : wanted.memory_tokens;
    const double usable = memory * profiled_memory_share - unreported;
    // The forecast of the wait still follows what is known: more will be soon.
    const double after =
        reported < min_reported_share
            ? std::max(peak.tokens, usable + wanted.memory_tokens)
            : peak.tokens;
    return {peak.held_now, after, usable, peak.in};
}

} // namespace mintknot::policy
