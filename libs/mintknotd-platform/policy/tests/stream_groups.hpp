/// @file
/// Load tests of streams in groups of instances, summed over several seeds.
#ifndef MINTKNOT_POLICY_TESTS_STREAM_GROUPS_HPP
#define MINTKNOT_POLICY_TESTS_STREAM_GROUPS_HPP

#include "stream_load.hpp"

namespace mintknot::policy::tests {

/// Bounds of the design: docs/design/sharing-capacity.md, part D.
inline constexpr double max_preempted_share = 0.005;
inline constexpr double max_below_oracle = 0.03;
/// Of the share of all streams that are started.
inline constexpr double min_large_share = 0.5;

/// @return the sum over so many seeds.
stream_load_result play_seeds(stream_load_options options, unsigned seeds = 3);

/// @return the domain of a group of that size, with so many engines.
stream_load_options group_of(std::size_t instances, std::size_t engines);

} // namespace mintknot::policy::tests

#endif
