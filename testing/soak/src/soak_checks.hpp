/// @file
/// The promises that a soak checks, over what callers and servers have seen.
#ifndef MINTKNOT_SOAK_SOAK_CHECKS_HPP
#define MINTKNOT_SOAK_SOAK_CHECKS_HPP

#include <map>
#include <string>
#include <vector>

namespace mintknot::soak {

/// The kinds of requests of a soak.
enum class request_kind { safe, unsafe, stream, resumable };

/// What a caller has seen of one request.
struct caller_record {
    std::string id;
    request_kind kind = request_kind::safe;
    int status = 0;     ///< 0: no answer at all.
    bool whole = false; ///< The answer was complete.
    std::string body;
    bool retry_after = false;
    /// The connection ended without a byte of an answer.
    bool unanswered = false;
};

/// Runs of each request, as the servers have noted them.
using run_counts = std::map<std::string, int>;

/// @return the body that the stand-ins give to a request.
std::string expected_body(const caller_record& record);

/// @return a line for each broken promise.
std::vector<std::string> broken_promises(
    const std::vector<caller_record>& records, const run_counts& runs);

} // namespace mintknot::soak

#endif
