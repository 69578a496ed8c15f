/// @file
/// Takes, finishes and releases claims.
#ifndef MINTKNOT_CLAIMS_CLAIM_LEDGER_HPP
#define MINTKNOT_CLAIMS_CLAIM_LEDGER_HPP

#include <mintknot/base/refusal.hpp>
#include <mintknot/claims/claim.hpp>
#include <mintknot/claims/claim_writer.hpp>
#include <mintknot/table_service/table_client.hpp>

#include <string>

namespace mintknot::claims {

/// What came of an attempt to take a claim.
struct claim_result {
    enum class state {
        ours,        ///< This call, and no other, may be sent.
        taken,       ///< `row` is someone else's claim.
        unavailable, ///< The store is out of reach; nothing may be sent.
    };

    state end = state::unavailable;
    claim row;
    std::string error;
};

/// A claim is not a lease: it never passes on by time, only by its holder's
/// release after `not_run`. A paused holder is therefore harmless.
///
/// Thread: all functions may be called from any thread; they block.
class claim_ledger {
public:
    /// Both must outlive the ledger.
    claim_ledger(table_service::table_client& platform, claim_writer& writer);

    /// Inserts the row if there is none. A lost answer is read back: the own
    /// token means that the claim is ours.
    claim_result take(const claim_key& key, const claim& wanted);

    /// Keeps the answer of a call that ran. @return false if it could not be
    /// written; later callers then get `may_have_run`.
    bool finish(const claim_key& key, claim held, const kept_answer& answer);

    /// Notes that the call may have run.
    bool mark_unknown(const claim_key& key, claim held);

    /// Gives the claim up, for the call has not run. Only ever removes the
    /// row of exactly this claim, however late the removal arrives.
    bool release(const claim_key& key, const claim& held);

    /// @return the row as it stands; Unavailable or NotFound.
    absl::StatusOr<claim> look(const claim_key& key);

private:
    bool rewrite(const claim_key& key, const claim& held);

    table_service::table_client& platform_;
    claim_writer& writer_;
};

} // namespace mintknot::claims

#endif
