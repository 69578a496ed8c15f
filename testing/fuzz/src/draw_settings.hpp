/// @file
/// How much a fuzz test draws, and by which seed.
#ifndef MINTKNOT_FUZZ_DRAW_SETTINGS_HPP
#define MINTKNOT_FUZZ_DRAW_SETTINGS_HPP

#include <cstdint>

namespace mintknot::fuzz {

/// @return the environment variable FUZZ_SEED, or 1.
std::uint64_t seed();

/// @return the environment variable FUZZ_DRAWS, or `usual`.
int draws(int usual);

} // namespace mintknot::fuzz

#endif
