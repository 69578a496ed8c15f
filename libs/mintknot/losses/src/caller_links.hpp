/// @file
/// Links the tries of callers to one another.
#ifndef MINTKNOT_LOSSES_SRC_CALLER_LINKS_HPP
#define MINTKNOT_LOSSES_SRC_CALLER_LINKS_HPP

#include <mintknot/losses/caller_account.hpp>

namespace mintknot::losses {

/// Counts a caller whose last try is known.
/// @param refusals number of its tries that were refused.
void count_caller(
    caller_account& account, const linkable_try& first,
    const linkable_try& last, int refusals);

/// Links and counts the older half of the tries, to make room for others.
void link_older_half(caller_account& account);

} // namespace mintknot::losses

#endif
