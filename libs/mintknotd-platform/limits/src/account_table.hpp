/// @file
/// The accounts that one instance keeps, without I/O.
#ifndef MINTKNOT_LIMITS_USAGE_BOOK_HPP
#define MINTKNOT_LIMITS_USAGE_BOOK_HPP

#include "usage_messages.hpp"

#include <mintknot/policy/usage_account.hpp>

#include <absl/container/flat_hash_map.h>
#include <absl/container/flat_hash_set.h>

#include <array>
#include <string>

namespace mintknot::limits {

/// Accounts by organisation, one of each account_kind. Bounded: when there are
/// too many, organisations that have been idle for a window are dropped, and
/// their accounts begin anew.
class account_table {
public:
    explicit account_table(policy::usage_bounds bounds);

    void set_bounds(const policy::usage_bounds& bounds) { bounds_ = bounds; }
    void set_shares(const policy::account_shares& shares) { shares_ = shares; }

    policy::draw_result draw(
        const traffic::organisation& who, account_kind account, double cost,
        base::steady_time now);

    /// Puts back what a request of `host` was granted. A duplicate refund
    /// counts once.
    void refund(
        const traffic::organisation& who, const std::string& host,
        const usage_refund& unused, base::steady_time now);

    /// Charges the keeper's account for what was granted elsewhere.
    void charge(
        const traffic::organisation& who, double cost, base::steady_time now);

    std::size_t size() const noexcept { return accounts_.size(); }

private:
    using account_set = std::array<policy::usage_account, 3>;
    /// Host and number of each refund.
    using refund_set =
        absl::flat_hash_set<std::pair<std::string, std::uint64_t>>;

    policy::usage_account&
    account_of(const std::string& name, account_kind account);
    policy::account_terms
    terms(const traffic::usage_limit& limit, account_kind account) const;
    void drop_idle(base::steady_time now);
    /// @return false if the refund is a duplicate.
    bool note_refund(
        const std::string& host, std::uint64_t number, base::steady_time now);

    policy::usage_bounds bounds_;
    policy::account_shares shares_;
    absl::flat_hash_map<std::string, account_set> accounts_;
    refund_set refunds_;
    refund_set older_refunds_;
    base::steady_time refunds_began_{}; ///< When `refunds_` was started.
};

} // namespace mintknot::limits

#endif
