/// @file
/// Whether requests with a part in their prompts that crashes engines are kept
/// from them, and sound requests are not.
#ifndef MINTKNOT_SOAK_PART_CHECKS_HPP
#define MINTKNOT_SOAK_PART_CHECKS_HPP

#include "soak_checks.hpp"

#include <cstddef>
#include <string>
#include <vector>

namespace mintknot::soak {

/// What became of the requests with one such part, and of sound ones.
struct part_tally {
    std::string part;
    std::size_t crashes = 0;
    /// Requests with it that were sent to engines, by instances in touch, later
    /// than contact_time after the fifth crash.
    std::size_t late = 0;
    /// Sound requests that share their first part with one that crashed, at
    /// instances in touch, and those that began: before the first crash, and
    /// from twice contact_time after the fifth (or the last) one on.
    std::size_t before = 0;
    std::size_t before_begun = 0;
    std::size_t after = 0;
    std::size_t after_begun = 0;
};

std::vector<part_tally> tally_parts(
    const std::vector<caller_record>& records, const server_notes& notes,
    const std::vector<disturbance>& disturbances);

/// @return a line for each part that more than three requests carried to
/// engines later than contact_time after the fifth crash, and one if sound
/// requests began less than half as often as before.
std::vector<std::string>
broken_by_parts(const std::vector<part_tally>& tallies);

std::string to_string(const part_tally& tally);

} // namespace mintknot::soak

#endif
