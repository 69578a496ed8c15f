/// @file
/// The blocks of requests that crash servers, for crash_evidence.cpp.
#ifndef MINTKNOT_POLICY_REQUEST_BLOCKS_HPP
#define MINTKNOT_POLICY_REQUEST_BLOCKS_HPP

#include <mintknot/policy/crash_evidence.hpp>

namespace mintknot::policy {

/// How long after its end a block still lengthens the next one.
inline constexpr base::milliseconds block_history_time{10 * 60 * 1000};
/// Upper bound of the delivery time of a block notice.
inline constexpr base::milliseconds cleared_lifetime{10000};

/// @return the length of a block that is not the first one.
base::milliseconds block_time(int times);

/// Blocks a request, for longer than the last time.
block_entry add_block(
    crash_evidence& evidence, const request_key& key, base::steady_time now);

/// @return true if the request was recently cleared, after that time.
bool cleared_after(
    const crash_evidence& evidence, const std::string& digest,
    base::steady_time time);

/// Removes blocks that no longer matter, and old clearings.
void expire_blocks(crash_evidence& evidence, base::steady_time now);

} // namespace mintknot::policy

#endif
