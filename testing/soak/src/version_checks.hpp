/// @file
/// Whether streams stay at the software version that began them, and go on
/// where engines of that version serve.
#ifndef MINTKNOT_SOAK_VERSION_CHECKS_HPP
#define MINTKNOT_SOAK_VERSION_CHECKS_HPP

#include "soak_checks.hpp"

#include <cstddef>
#include <string>
#include <vector>

namespace mintknot::soak {

/// An engine from its start until it ends or says that it leaves.
struct engine_life {
    std::string part; ///< As in disturbances.
    std::string version;
    bool decodes = false;
    base::steady_time from{};
    base::steady_time until = base::steady_time::max();
};

/// What became of streams while engines of several versions served.
struct version_tally {
    std::size_t taken_up = 0; ///< Requests that take up a stream, anywhere.
    std::vector<std::string> joined; ///< Streams with events of two versions.
    /// Requests at instances in touch that begin a stream, or take one up while
    /// two decode engines of its version serve; and those of them that got an
    /// event or the end of the stream.
    std::size_t new_counted = 0;
    std::size_t new_begun = 0;
    std::size_t resumed_counted = 0;
    std::size_t resumed_begun = 0;
};

version_tally tally_versions(
    const std::vector<caller_record>& records,
    const std::vector<engine_life>& lives,
    const std::vector<disturbance>& disturbances);

/// @return a line if more than two streams hold events of two versions, and one
/// if, of twelve streams or more that were taken up, the share that goes on is
/// under half of the share of new ones that begin.
std::vector<std::string> broken_by_versions(const version_tally& tally);

std::string to_string(const version_tally& tally);

} // namespace mintknot::soak

#endif
