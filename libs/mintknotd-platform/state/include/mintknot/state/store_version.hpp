/// @file
/// Row versions that keep rising when the store is restored from a backup.
#ifndef MINTKNOT_STATE_STORE_VERSION_HPP
#define MINTKNOT_STATE_STORE_VERSION_HPP

#include <cstdint>

namespace mintknot::state {

/// A store that was restored from a backup starts a new era and reuses counter
/// values. A version holds the era in its high bits and the counter in its low
/// bits, so versions of a later era compare as higher everywhere: in the
/// replica, in messages of peers and as fences of orders. If the store reports
/// no era, the era is 0 and the version equals the counter.
inline constexpr int counter_bits = 40;
inline constexpr std::uint64_t max_counter =
    (std::uint64_t{1} << counter_bits) - 1;
inline constexpr std::uint64_t max_era =
    (std::uint64_t{1} << (64 - counter_bits)) - 1;

constexpr std::uint64_t make_version(std::uint64_t era, std::uint64_t counter) {
    return (era << counter_bits) | counter;
}

constexpr std::uint64_t era_of(std::uint64_t version) {
    return version >> counter_bits;
}

constexpr std::uint64_t counter_of(std::uint64_t version) {
    return version & max_counter;
}

} // namespace mintknot::state

#endif
