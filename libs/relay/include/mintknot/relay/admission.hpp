/// @file
/// How long a request waits for room, and when its caller may come back.
#ifndef MINTKNOT_RELAY_ADMISSION_HPP
#define MINTKNOT_RELAY_ADMISSION_HPP

#include <mintknot/base/time.hpp>

#include <optional>

namespace mintknot::relay {

/// The longest deadline that callers have named lately on one route: what a
/// request brings that has not been refused before.
struct longest_deadline {
    base::milliseconds value{0};
    base::steady_time seen{};
};

void note_deadline(
    longest_deadline& longest, base::milliseconds deadline,
    base::steady_time now);

/// What is done with a request that finds no room.
struct room_terms {
    base::milliseconds wait{0}; ///< From its arrival, before it is refused.
    base::milliseconds come_back{0}; ///< What the refusal advises.
};

/// A fresh request is refused early, with advice to come back behind the
/// burst: its caller loses little. A request with visibly less time than
/// fresh ones has been refused before; a second refusal would be its end, so
/// that it waits as long as an answer is still worth something.
///
/// @param begun true if an engine has already worked for the request: then it
/// is worth waiting for as well.
/// @param draw uniform in [0, 1), spreads the callers that come back.
room_terms room_terms_for(
    const longest_deadline& longest, base::milliseconds target_latency,
    std::optional<base::milliseconds> deadline, bool begun, double draw);

} // namespace mintknot::relay

#endif
