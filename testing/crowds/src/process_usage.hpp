/// @file
/// What a process uses of its machine, as the system tells it.
#ifndef MINTKNOT_CROWDS_PROCESS_USAGE_HPP
#define MINTKNOT_CROWDS_PROCESS_USAGE_HPP

#include <mintknot/base/address.hpp>

#include <sys/types.h>

#include <cstddef>
#include <vector>

namespace mintknot::crowds {

/// A reading; all are zero once the process has ended.
struct process_usage {
    std::size_t resident_bytes = 0;
    std::size_t max_resident_bytes = 0; ///< Since the start of the process.
    /// Arrived on connections of the process's callers, and not read yet.
    std::size_t unread_bytes = 0;
    std::size_t descriptors = 0;
};

/// @param listens where the process takes connections.
process_usage
read_usage(pid_t process, const std::vector<base::address>& listens);

} // namespace mintknot::crowds

#endif
