#include "account_table.hpp"

#include <algorithm>

namespace mintknot::limits {

namespace {

/// Of 43,000 organisations, each of 390 instances keeps about 110.
constexpr std::size_t max_accounts = 4096;

/// Minimum time for which a duplicate refund is recognised.
constexpr base::milliseconds duplicate_detection_time{5000};

bool idle_since(
    const policy::usage_account& account, base::steady_time moment) {
    return account.updated < moment;
}

} // namespace

account_table::account_table(policy::usage_bounds bounds)
    : bounds_(bounds) {}

policy::account_terms account_table::terms(
    const traffic::usage_limit& limit, account_kind account) const {
    if (account == account_kind::keeper)
        return policy::terms_of_account(
            limit, bounds_, shares_.keeper, policy::keeper_overdraft);
    const double share =
        account == account_kind::deputy ? shares_.deputy : shares_.own;
    return policy::terms_of_account(
        limit, bounds_, share, policy::deputies_overdraft);
}

policy::usage_account&
account_table::account_of(const std::string& name, account_kind account) {
    return accounts_[name][static_cast<std::size_t>(account)];
}

policy::draw_result account_table::draw(
    const traffic::organisation& who, account_kind account, double cost,
    base::steady_time now) {
    if (accounts_.size() >= max_accounts)
        drop_idle(now);
    policy::usage_account& drawn_account = account_of(who.name, account);
    if (account == account_kind::deputy)
        policy::stand_in(drawn_account, now);
    return policy::draw(drawn_account, terms(who.limit, account), cost, now);
}

void account_table::refund(
    const traffic::organisation& who, const std::string& host,
    const usage_refund& unused, base::steady_time now) {
    if (!accounts_.contains(who.name) || !note_refund(host, unused.number, now))
        return;
    policy::give_back(
        account_of(who.name, unused.account), terms(who.limit, unused.account),
        unused.cost, now);
}

void account_table::charge(
    const traffic::organisation& who, double cost, base::steady_time now) {
    policy::charge(
        account_of(who.name, account_kind::keeper),
        terms(who.limit, account_kind::keeper), cost, now);
}

void account_table::drop_idle(base::steady_time now) {
    const base::steady_time oldest = now - bounds_.window;
    absl::erase_if(accounts_, [oldest](const auto& item) {
        return std::all_of(
            item.second.begin(), item.second.end(),
            [oldest](const policy::usage_account& account) {
                return idle_since(account, oldest);
            });
    });
}

bool account_table::note_refund(
    const std::string& host, std::uint64_t number, base::steady_time now) {
    if (now - refunds_began_ > duplicate_detection_time) {
        older_refunds_ = std::move(refunds_);
        refunds_ = {};
        refunds_began_ = now;
    }
    return !older_refunds_.contains({host, number}) &&
           refunds_.emplace(host, number).second;
}

} // namespace mintknot::limits
