/// @file
/// Times in which most new connections of callers go to few instances.
#ifndef MINTKNOT_SOAK_CONNECTION_SKEWS_HPP
#define MINTKNOT_SOAK_CONNECTION_SKEWS_HPP

#include "soak_checks.hpp"

#include <mintknot/base/time.hpp>

#include <cstddef>
#include <string>
#include <vector>

namespace mintknot::soak {

/// Callers open a new connection for each request, and most of these go to some
/// instances. Retries go to any other instance.
struct connection_skew {
    std::vector<std::size_t> instances;
    double share = 0.95; ///< Of the requests, that goes to these instances.
    base::milliseconds from{0}; ///< After the start of the load.
    base::milliseconds until{0};
};

/// Requests whose first attempt was read, and those that it served.
struct attempt_tally {
    std::size_t read = 0;
    std::size_t served = 0;
    std::size_t unread = 0; ///< Attempts that ended unread before a later one.
    /// Of those that were not served:
    std::size_t never_read = 0;
    std::size_t refused = 0;
    std::size_t late = 0; ///< Or without an answer.
};

/// What callers got before a skew, or before the first of several that follow
/// one another at once, and from contact_time after its begin on.
struct skew_tally {
    attempt_tally before;
    attempt_tally during;
};

/// @return what callers got around each skew. @param load_began when the load
/// began, from which the times of the skews count.
std::vector<skew_tally> tally_skews(
    const std::vector<caller_record>& records, const server_notes& notes,
    const std::vector<connection_skew>& skews, base::steady_time load_began);

std::string to_string(const skew_tally& skew);

/// @return a line for each skew during which requests were served at the first
/// attempt that was read less than three quarters as often as before it.
std::vector<std::string> broken_by_skews(const std::vector<skew_tally>& skews);

} // namespace mintknot::soak

#endif
