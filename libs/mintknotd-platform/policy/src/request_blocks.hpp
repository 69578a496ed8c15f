/// @file
/// The blocks of requests that crash servers, for crash_evidence.cpp.
#ifndef MINTKNOT_POLICY_REQUEST_BLOCKS_HPP
#define MINTKNOT_POLICY_REQUEST_BLOCKS_HPP

#include <mintknot/policy/crash_evidence.hpp>

namespace mintknot::policy {

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
