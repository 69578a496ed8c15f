/// @file
/// Which servers a selection may consider, for selection.cpp and
/// capacity_summary.cpp.
#ifndef MINTKNOT_POLICY_SELECTION_SCOPE_HPP
#define MINTKNOT_POLICY_SELECTION_SCOPE_HPP

#include <mintknot/policy/selection.hpp>
#include <mintknot/policy/stream_origin.hpp>

namespace mintknot::policy {

/// @return true if the server is in the data centre and has the version that
/// the selection is limited to.
inline bool
in_scope(const selection_inputs& inputs, const traffic::server& candidate) {
    if (inputs.only_version &&
        !is_same_version(*inputs.only_version, candidate.version))
        return false;
    return inputs.only_data_centre.empty() ||
           inputs.only_data_centre == candidate.data_centre;
}

/// @return true if an engine in that phase can run the decode of a request.
inline bool decode_phase(traffic::engine_phase phase) {
    return phase != traffic::engine_phase::prefill;
}

/// @return the memory of one engine of the service, in tokens; 0: unknown.
inline double engine_memory_of(const selection_inputs& inputs) {
    return inputs.service.engine
               ? static_cast<double>(inputs.service.engine->memory_tokens)
               : 0.0;
}

} // namespace mintknot::policy

#endif
