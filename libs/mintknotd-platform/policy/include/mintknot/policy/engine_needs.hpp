/// @file
/// What a generation request needs of its engines.
#ifndef MINTKNOT_POLICY_ENGINE_NEEDS_HPP
#define MINTKNOT_POLICY_ENGINE_NEEDS_HPP

#include <mintknot/base/time.hpp>

#include <optional>

namespace mintknot::policy {

/// What a caller says of a request's size, in tokens.
struct request_size {
    double prompt = 0.0;
    double max_output = 0.0;
    std::optional<double> expected_output; ///< The caller's own guess.
};

/// @return tokens of a decode engine's memory that are reserved: the prompt and
/// a part of the output. Requests are at different points of their output: on
/// average each holds about half of it. Reserving 0.6 of the expected output
/// in place of 0.8 raised worth from 0.535 to 0.579 (three plays each of a busy
/// day with 86 instances); on two small deployments it made no difference.
double memory_needed(const request_size& size);

/// @return how long a prefill engine may take for a prompt, its queue included.
/// A decode engine that reads a prompt slows all its streams down: it does so
/// only where a prefill engine would miss what is left of the target after the
/// hand-over. Against half of the target that raised worth by 0.011, 0.008 and
/// 0.018 (thirty plays each on three deployments).
/// @param hand_over from the end of a prefill to the first event, on average.
base::milliseconds prefill_time_limit(
    base::milliseconds target, base::milliseconds waited,
    base::milliseconds hand_over);

} // namespace mintknot::policy

#endif
