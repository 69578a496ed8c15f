/// @file
/// What an organisation may use in a stretch of time, over all instances.
///
/// Each organisation has one account, kept by the instance that rendezvous
/// hashing names (limits/usage_accounts.hpp). A request draws its cost from it
/// before anything is sent. Where the keeper does not answer, a deputy in each
/// data centre keeps an account with that data centre's share of the limit, and
/// where that is silent too, each instance one with its own share: the shares
/// of those who cannot hear each other never add up to more than the limit.
///
/// What a deputy or an instance alone has granted is charged to the keeper
/// afterwards: a datagram that was lost, or a keeper that was away for a
/// moment, does not make the limit larger. Without it 5% of lost datagrams
/// brought 1.62 times the bound, with it 0.95 (test_usage_bound.cpp, the worst
/// of two and of ten seeds).
///
/// An account begins empty, since nobody knows what an earlier keeper has
/// granted: with a full one, a keeper that changes would grant the burst twice.
/// What it may be overdrawn by lets the first requests in meanwhile.
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

/// Within which the use of an organisation must stay, in any window: (rate x
/// window + burst) x (1 + overage) + slack.
struct usage_bounds {
    base::milliseconds window{10000};
    double overage = 0.0;
    double slack = 0.0; ///< In the unit of the limit.

    friend bool operator==(const usage_bounds&, const usage_bounds&) = default;
};

/// What one account may give out.
struct account_terms {
    double rate = 0.0; ///< A millisecond.
    double burst = 0.0;
    double overdraft = 0.0; ///< How far below zero it may go.
};

/// Of the slack, the parts by which the keeper's account and those of all
/// deputies together may be overdrawn, as they may be used within one window;
/// the rest is for requests that are granted and wait for room before they run.
/// Deputies begin with nothing else: with a quarter, 0.0012 of the requests of
/// a calm load were refused where the keeper of nine instances was away for 2
/// and 4 s, with this part none (test_usage_bound.cpp, the worst of ten seeds).
inline constexpr double keeper_overdraft = 0.25;
inline constexpr double deputies_overdraft = 0.6;

/// Of the overage, the part that is added to the rate. All of it is left for
/// grants that wait before they run, and for a cut behind a burst (stand_in()):
/// half of it brought 0.02 of the bound more, and on quiet days of two
/// deployments served no more (0.733 and 0.808 of worth with half, 0.731 and
/// 0.813 with 0.3, one play each).
inline constexpr double overage_share = 0.0;

/// @param share of the limit that is kept in the account, in (0, 1].
/// @param overdraft the part of the slack for all accounts of its kind.
account_terms terms_of_account(
    const traffic::usage_limit& limit, const usage_bounds& bounds, double share,
    double overdraft);

/// @return what a request costs. @param tokens that it tells, if any.
double
usage_cost(const traffic::usage_limit& limit, std::optional<double> tokens);

/// What is left for an organisation.
struct usage_account {
    double level = 0.0;
    base::steady_time updated{}; ///< Of the level; zero: it has never begun.
    /// What was earned lately beyond the burst: grants of others in that time,
    /// of which the account hears late, are taken out of it first.
    double unused = 0.0;
    /// When what has been promised to refused callers will have been earned.
    base::steady_time promised{};
    /// Since when it stands in for a silent keeper; zero: it is a keeper's.
    base::steady_time stands_in_since{};
};

/// The answer to a request.
struct draw_result {
    bool granted = false;
    base::milliseconds retry_after{0}; ///< Unless granted.
};

/// Longest time after which a refused caller is told to come back: what lies
/// further ahead is not foreseen.
inline constexpr base::milliseconds max_limit_retry_after{8000};

/// Shortest one: the limits of instances that begin are not settled sooner.
inline constexpr base::milliseconds min_limit_retry_after{50};

/// Takes the cost out of the account if there is enough. A request that costs
/// more than the burst is granted by a full account, which then has to earn it.
/// Refused callers are told times that follow each other as the account earns
/// what they need, so that they do not all come back to the same tokens.
draw_result draw(
    usage_account& account, const account_terms& terms, double cost,
    base::steady_time now);

/// To be called before a deputy, or an instance alone, draws. Whoever begins to
/// stand in for a keeper, or does so again after a pause, begins empty and
/// earns less at first: the keeper may still be granting the whole limit,
/// behind a cut that neither has noticed. Where a cut came a second after an
/// organisation had begun to send eight times its usual, and so had used its
/// burst, the whole share brought 0.98 to 1.08 of the bound, with what is here
/// 0.93 to 0.998 (test_usage_bound.cpp, the worst of ten seeds).
void stand_in(usage_account& account, base::steady_time now);

/// Puts back what a request has not used.
void give_back(
    usage_account& account, const account_terms& terms, double cost,
    base::steady_time now);

/// Takes out what has been granted elsewhere, whatever is left; the account
/// owes its burst at most.
void charge(
    usage_account& account, const account_terms& terms, double cost,
    base::steady_time now);

/// Peers that were heard within this time share a limit with this instance;
/// beyond it they may have keepers of their own. Longer than the heartbeats
/// between data centres of a group of hundreds (1.2 s). With the four seconds
/// after which a peer is forgotten, a cut brought 1.07 times the bound, with
/// this 0.95 (test_usage_bound.cpp, the worst of two and of ten seeds).
inline constexpr base::milliseconds sharing_silence{2000};

/// How long a peer that has fallen silent may still be granting: longer cuts
/// are taken for losses, so that a group that has become smaller gets its whole
/// limit back.
inline constexpr base::milliseconds silent_peer_timeout{60000};

/// How long an instance that has started does not trust that it hears all the
/// others: they find each other within a second.
inline constexpr base::milliseconds discovery_time{3000};

/// What an instance sees of its group.
struct group_view {
    std::size_t here = 1;   ///< In the own data centre, with this one.
    std::size_t heard = 1;  ///< Anywhere, with this one.
    std::size_t silent = 0; ///< Not heard any more, for a while.
    base::milliseconds uptime{0};
};

/// The shares of a limit that accounts at this instance may give out.
struct account_shares {
    double keeper = 1.0; ///< For all that are heard.
    double deputy = 1.0; ///< For the own data centre.
    double own = 1.0;    ///< For this instance.
};

account_shares shares_of(const group_view& group);

} // namespace mintknot::policy

#endif
