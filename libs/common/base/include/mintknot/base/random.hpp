/// @file
/// Random tokens for request IDs, change IDs and claims, and random choices.
#ifndef MINTKNOT_BASE_RANDOM_HPP
#define MINTKNOT_BASE_RANDOM_HPP

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace mintknot::base {

/// @return 64 random bits from the operating system.
std::uint64_t random_bits();

/// @return 16 lower-case hexadecimal digits.
std::string random_token();

/// @return a uniform number in [0, bound). Precondition: bound > 0.
std::uint64_t random_below(std::uint64_t bound);

/// Leaves a uniform random part of the values, `max` at most.
void keep_some(std::vector<std::string>& values, std::size_t max);

} // namespace mintknot::base

#endif
