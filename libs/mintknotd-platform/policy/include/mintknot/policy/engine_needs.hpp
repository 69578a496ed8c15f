/// @file
/// How much decode memory and how much prefill time a generation request may
/// take.
#ifndef MINTKNOT_POLICY_ENGINE_NEEDS_HPP
#define MINTKNOT_POLICY_ENGINE_NEEDS_HPP

#include <mintknot/base/time.hpp>

#include <optional>

namespace mintknot::policy {

/// The size of a request as stated by its caller, in tokens.
struct request_size {
    double prompt = 0.0;
    double max_output = 0.0;
    std::optional<double> expected_output; ///< The caller's own estimate.
};

/// @return the output that a request is expected to have: the caller's estimate
/// or a part of the maximum.
double expected_output(const request_size& size);

/// @return the tokens of decode memory to reserve: the prompt and a part of the
/// output. Running requests are at different points of their output, so that
/// each holds about half of it on average. Reserving 0.6 instead of 0.8 of the
/// expected output raised the net benefit from 0.535 to 0.579 (three simulated
/// runs each of a busy day with 86 instances); on two small deployments it made
/// no difference.
double memory_needed(const request_size& size);

/// @return how long a prefill engine may take for a prompt, including the time
/// in its queue. If no prefill engine can meet this, the decode engine reads
/// the prompt itself, which slows down all its streams; so this is only done if
/// the prefill engine would miss what is left of the target after the
/// hand-over. Against a limit of half the target this raised the net benefit by
/// 0.011, 0.008 and 0.018 (thirty simulated runs each on three deployments).
/// @param hand_over mean time from the end of a prefill to the first event.
base::milliseconds prefill_time_limit(
    base::milliseconds target, base::milliseconds waited,
    base::milliseconds hand_over);

} // namespace mintknot::policy

#endif
