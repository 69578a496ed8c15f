/// @file
/// How long an instance that starts waits for what its peers know.
///
/// A store that was restored from a backup lacks what was written shortly
/// before: that a server leaves, or a newer configuration. Peers that were
/// there know it. Until one has told it, an instance that starts serves
/// nothing. Input: what the peers that were heard so far could tell. Log event:
/// `history_awaited`.
#ifndef MINTKNOT_POLICY_HISTORY_WAIT_HPP
#define MINTKNOT_POLICY_HISTORY_WAIT_HPP

#include <mintknot/base/time.hpp>

namespace mintknot::policy {

/// What peers have told of the time before the store was restored.
enum class told_history {
    nothing,   ///< No peer has answered.
    ignorance, ///< Those that answered have started since, too.
    all        ///< A peer that was there has told what it knows.
};

/// @return the longest time to wait for more.
base::milliseconds max_history_wait(told_history told);

} // namespace mintknot::policy

#endif
