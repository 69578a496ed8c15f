/// @file
/// Distributed usage limits of organisations: token buckets ("accounts").
///
/// Each organisation has one account, kept by an instance chosen by rendezvous
/// hashing, the keeper (limits/usage_accounts.hpp). A request draws its cost
/// from the account before anything is sent. If the keeper does not answer, a
/// deputy in each data centre uses an account with that data centre's share of
/// the limit. If the deputy does not answer either, each instance uses an
/// account with its own share. The shares of instances that cannot reach each
/// other never add up to more than the limit.
///
/// Grants of a deputy or of an instance on its own are charged to the keeper
/// afterwards, so that lost datagrams and short failures of the keeper do not
/// raise the limit. Without these charges, a loss of 5% of the datagrams led to
/// 1.62 times the bound, with them to 0.95 (test_usage_bound.cpp, the worst of
/// two and of ten seeds).
///
/// An account starts empty, as the grants of a previous keeper are unknown: if
/// it started full, a change of the keeper would grant the burst twice. The
/// permitted overdraft admits the first requests.
///
/// Inputs: the limit and its bounds, the share, and the account. Log event:
/// `given_up` with `over_limit`.
#ifndef MINTKNOT_POLICY_USAGE_ACCOUNT_HPP
#define MINTKNOT_POLICY_USAGE_ACCOUNT_HPP

#include <mintknot/base/time.hpp>
#include <mintknot/traffic/organisation_table.hpp>

#include <cstddef>
#include <optional>

namespace mintknot::policy {

/// Bound on the usage of an organisation in any window:
/// (rate x window + burst) x (1 + overage) + slack.
struct usage_bounds {
    base::milliseconds window{10000};
    double overage = 0.0;
    double slack = 0.0; ///< In the unit of the limit.

    friend bool operator==(const usage_bounds&, const usage_bounds&) = default;
};

/// Parameters of one account.
struct account_terms {
    double rate = 0.0; ///< Tokens per millisecond.
    double burst = 0.0;
    double overdraft = 0.0; ///< Permitted amount below zero.
};

/// Fractions of the slack by which the keeper's account and the accounts of all
/// deputies together may be overdrawn. Both may be used within one window; the
/// rest covers granted requests that wait for capacity before they run. The
/// overdraft is all that a deputy starts with: at 0.25, 0.0012 of the requests
/// of a light load were refused when the keeper of nine instances was
/// unreachable for 2 and 4 s, at 0.6 none (test_usage_bound.cpp, the worst of
/// ten seeds).
inline constexpr double keeper_overdraft = 0.25;
inline constexpr double deputies_overdraft = 0.6;

/// Fraction of the overage that is added to the rate. At zero, all of it is
/// reserved for granted requests that wait before they run and for a network
/// partition after a burst (stand_in()). A fraction of 0.5 used 0.02 more of
/// the bound and served no more requests under light load on two deployments
/// (net benefit 0.733 and 0.808, against 0.731 and 0.813 at 0.3, one run each).
inline constexpr double overage_share = 0.0;

/// @param share fraction of the limit that this account gets, in (0, 1].
/// @param overdraft fraction of the slack for all accounts of this kind.
account_terms terms_of_account(
    const traffic::usage_limit& limit, const usage_bounds& bounds, double share,
    double overdraft);

/// @param tokens number of tokens that the request declares, if any.
/// @return the cost of a request in the unit of the limit.
double
usage_cost(const traffic::usage_limit& limit, std::optional<double> tokens);

/// Token bucket of an organisation.
struct usage_account {
    double level = 0.0;
    base::steady_time updated{}; ///< Time of `level`; zero: never used.
    /// Tokens earned recently beyond the burst. Late charges for grants by
    /// deputies in that time are taken from here first.
    double unused = 0.0;
    /// Time at which the tokens promised to refused callers will be earned.
    base::steady_time promised{};
    /// Start of the time as a stand-in for an unreachable keeper; zero for the
    /// keeper's own account.
    base::steady_time stands_in_since{};
};

/// Result of drawing from an account.
struct draw_result {
    bool granted = false;
    base::milliseconds retry_after{0}; ///< Only if refused.
};

/// Maximum time after which a refused caller is told to retry; the load later
/// than that cannot be predicted.
inline constexpr base::milliseconds max_limit_retry_after{8000};

/// Minimum of this time: instances that have just started need it to settle
/// their shares.
inline constexpr base::milliseconds min_limit_retry_after{50};

/// Draws the cost from the account if it has enough tokens. A request that
/// costs more than the burst is granted by a full account, which is then
/// overdrawn. Refused callers get successive retry times at the rate at which
/// the account earns their tokens, so that they do not all compete for the same
/// ones.
draw_result draw(
    usage_account& account, const account_terms& terms, double cost,
    base::steady_time now);

/// To be called before a deputy, or an instance on its own, draws. An account
/// that starts to stand in for a keeper, or does so again after a pause, starts
/// empty and at a reduced rate: the keeper may still be granting the whole
/// limit on the other side of a partition that neither side has detected. With
/// a partition one second after an organisation had begun to send eight times
/// its usual load, and so had used its burst, the full rate led to 0.98 to 1.08
/// of the bound, the reduced rate to 0.93 to 0.998 (test_usage_bound.cpp, the
/// worst of ten seeds).
void stand_in(usage_account& account, base::steady_time now);

/// Returns tokens that a request has drawn but not used.
void give_back(
    usage_account& account, const account_terms& terms, double cost,
    base::steady_time now);

/// Charges the account for grants made elsewhere, regardless of its level. Its
/// debt is limited to the burst.
void charge(
    usage_account& account, const account_terms& terms, double cost,
    base::steady_time now);

/// Peers that were heard within this time share a limit with this instance;
/// others may be partitioned and use other keepers. Longer than the interval of
/// heartbeats between data centres in a group of hundreds (1.2 s). With the
/// four seconds after which a peer is removed, a partition led to 1.07 times
/// the bound, with this value to 0.95 (test_usage_bound.cpp, the worst of two
/// and of ten seeds).
inline constexpr base::milliseconds sharing_silence{2000};

/// How long a peer that is no longer heard may still be granting. After this
/// time it is taken to have stopped, so that a group that has become smaller
/// gets its whole limit back.
inline constexpr base::milliseconds silent_peer_timeout{60000};

/// Time after the start of an instance in which it does not assume that it
/// hears all peers. Peers discover each other within a second.
inline constexpr base::milliseconds discovery_time{3000};

/// The group as seen by an instance.
struct group_view {
    std::size_t here = 1;   ///< In this data centre, including this one.
    std::size_t heard = 1;  ///< In all data centres, including this one.
    std::size_t silent = 0; ///< Not heard recently, but not yet ignored.
    base::milliseconds uptime{0};
};

/// Shares of a limit that accounts on this instance may grant, by role.
struct account_shares {
    double keeper = 1.0; ///< For all instances that are heard.
    double deputy = 1.0; ///< For the instances of this data centre.
    double own = 1.0;    ///< For this instance only.
};

/// @return the shares for this view of the group.
account_shares shares_of(const group_view& group);

} // namespace mintknot::policy

#endif
