/// @file
/// What callers got, from their first try to their last one.
///
/// @code
/// caller_account account;
/// note_try(account, ended);  // for each request, in any order
/// link_tries(account);
/// account.all.in_target;
/// @endcode
#ifndef MINTKNOT_LOSSES_CALLER_ACCOUNT_HPP
#define MINTKNOT_LOSSES_CALLER_ACCOUNT_HPP

#include <mintknot/base/time.hpp>

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace mintknot::losses {

/// How a single try ended.
enum class try_result : std::uint8_t {
    answered,
    refused, ///< The answer stated that the request has not run.
    failed   ///< Neither: the answer was lost, broken off or an error.
};

/// A try of a caller: one request that has ended.
struct caller_try {
    /// Equal for all tries of a caller; 0: unknown, the try stands for itself.
    std::uint64_t digest = 0;
    std::string route;
    std::string priority;
    std::string organisation;
    std::string instance;
    std::int64_t started_at = 0; ///< Wall time in ms.
    base::milliseconds total{0};
    base::milliseconds deadline{0}; ///< As the caller stated it; 0: none.
    base::milliseconds first_byte{0};
    base::milliseconds target{0}; ///< 0: none, as for the gap.
    base::milliseconds longest_gap{0};
    base::milliseconds target_gap{0};
    try_result result = try_result::failed;
    bool returned = false; ///< The caller was refused before.
};

/// Numbers of callers. A caller is in one of in_target to failed, by its last
/// try.
struct caller_counts {
    std::int64_t callers = 0;
    std::int64_t in_target = 0;
    std::int64_t late = 0;
    std::int64_t refused_once = 0;
    std::int64_t refused_twice = 0; ///< Or more often.
    std::int64_t failed = 0;
    /// Of the late ones: first event within the target, a gap above its target.
    std::int64_t late_by_gap = 0;
    std::int64_t ever_refused = 0; ///< At least once, whatever came after it.
    std::int64_t ever_refused_twice = 0;
};

/// Names, each stored once and referred to by a number.
struct name_table {
    std::vector<std::string> names;
    std::unordered_map<std::string, std::uint32_t> numbers;
};

/// A try that may belong to a caller with other tries. Kept until all logs have
/// been read, so it holds numbers only.
struct linkable_try {
    std::uint64_t digest = 0;
    std::int64_t started_at = 0;
    std::uint32_t total_ms = 0;
    std::uint32_t deadline_ms = 0;
    std::uint32_t first_byte_ms = 0;
    std::uint32_t target_ms = 0;
    std::uint32_t route = 0;
    std::uint32_t priority = 0;
    std::uint32_t organisation = 0;
    std::uint32_t instance = 0;
    try_result result = try_result::failed;
    bool returned = false;
    bool gap_missed = false;
};

/// Bounds of the memory of an account.
struct caller_limits {
    /// Tries kept for linking: 64 MB. Above that the older half is linked and
    /// counted, so that a caller may be counted twice.
    std::size_t max_tries = std::size_t{1} << 20;
    /// Distinct names; further ones are counted as "(other)". The long-term
    /// goal is 43,000 organisations.
    std::size_t max_names = 100'000;
};

/// The state of counting. Filled by the functions below.
struct caller_account {
    caller_limits limits;
    caller_counts all;
    std::map<std::string, caller_counts> routes;
    std::map<std::string, caller_counts> priorities;
    std::map<std::string, caller_counts> organisations;
    /// By instance, because a line that names the data centre of an instance
    /// may be read later than its requests.
    std::map<std::string, caller_counts> instances;
    /// Tries of callers that were refused before, without that earlier try.
    std::int64_t returns_without_first_try = 0;
    /// Tries that were counted before all logs had been read; see max_tries.
    std::int64_t linked_early = 0;
    name_table names;
    std::vector<linkable_try> tries;
};

/// Adds a try. One without a digest is counted as a caller of its own.
void note_try(caller_account& account, const caller_try& ended);

/// Finds out which of the tries belong to one caller, and counts the callers.
void link_tries(caller_account& account);

/// @return the counts by data centre.
/// @param data_centres by instance; others are counted as "unknown".
std::map<std::string, caller_counts> callers_by_data_centre(
    const caller_account& account,
    const std::map<std::string, std::string>& data_centres);

} // namespace mintknot::losses

#endif
