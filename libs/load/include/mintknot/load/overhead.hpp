/// @file
/// The time and memory that mintknot adds.
#ifndef MINTKNOT_LOAD_OVERHEAD_HPP
#define MINTKNOT_LOAD_OVERHEAD_HPP

#include <mintknot/load/call_path.hpp>

#include <nlohmann/json.hpp>

#include <sys/types.h>

#include <cstdint>

namespace mintknot::load {

struct overhead_options {
    std::size_t streams = 1; ///< Concurrent calls.
    std::size_t rounds = 5;  ///< Each: once straight, once through mintknot.
    std::size_t least_samples = 60; ///< More rounds if there are fewer calls.
    std::uint64_t prompt_tokens = 200;
    std::uint64_t output_tokens = 60;
    /// Start of the calls of a round, so that prefills do not queue up.
    base::milliseconds stagger{3};
    mix_part part;
    /// Process of one instance, to read its memory; 0: none.
    pid_t instance = 0;
};

/// Runs both ways in turn, round after round.
/// @return percentiles of both ways and their differences, in milliseconds,
/// and the instance's memory with all streams open, for each stream.
nlohmann::json measure_overhead(
    call_path& straight, call_path& routed, const overhead_options& options);

} // namespace mintknot::load

#endif
