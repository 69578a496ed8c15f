#include <mintknot/policy/usage_account.hpp>

#include <mintknot/policy/group.hpp>

#include <algorithm>
#include <cmath>

namespace mintknot::policy {

namespace {

constexpr double milliseconds_per_second = 1000.0;

/// Maximum delay of charges for grants made elsewhere: a process that was
/// frozen for up to this time finds them queued. A process frozen for longer
/// has already been treated as lost.
constexpr base::milliseconds max_charge_delay{4000};

/// Fraction of its rate that an account earns at first when standing in for a
/// keeper that may still be granting the whole limit. A steady load of 0.55 of
/// the limit is still served completely with the help of the overdraft.
constexpr double initial_rate_fraction = 0.68;

/// @return the milliseconds since the last update, with the time at the reduced
/// rate weighted by initial_rate_fraction.
double earning_time(const usage_account& account, base::steady_time now) {
    using milliseconds = std::chrono::duration<double, std::milli>;
    const milliseconds since = now - account.updated;
    if (account.stands_in_since == base::steady_time{})
        return since.count();
    const base::steady_time full_rate_from =
        account.stands_in_since + sharing_silence;
    const milliseconds reduced = std::max(
        std::min(now, full_rate_from) - account.updated,
        base::steady_clock::duration{0});
    return since.count() - (1.0 - initial_rate_fraction) * reduced.count();
}

/// Adds the tokens earned since the last update.
void update(
    usage_account& account, const account_terms& terms, base::steady_time now) {
    if (account.updated == base::steady_time{})
        account.updated = now;
    const double earned = earning_time(account, now) * terms.rate;
    const double level = account.level + earned;
    account.level = std::min(level, terms.burst);
    const double excess = level - account.level;
    const double longest =
        static_cast<double>(max_charge_delay.count()) * terms.rate;
    account.unused =
        std::clamp(account.unused + 2.0 * excess - earned, 0.0, longest);
    account.updated = now;
}

base::milliseconds time_to_earn(const account_terms& terms, double tokens) {
    const double time = std::ceil(std::max(tokens, 0.0) / terms.rate);
    const auto longest = static_cast<double>(max_limit_retry_after.count());
    return base::milliseconds(
        static_cast<std::int64_t>(std::min(time, longest)));
}

base::milliseconds retry_time(
    usage_account& account, const account_terms& terms, double cost,
    base::steady_time now) {
    const double missing = cost - account.level - terms.overdraft;
    const base::steady_time earned = std::max(
        now + time_to_earn(terms, missing),
        account.promised + time_to_earn(terms, cost));
    account.promised = std::min(earned, now + max_limit_retry_after);
    return std::max(
        base::time_left(account.promised, now), min_limit_retry_after);
}

} // namespace

account_terms terms_of_account(
    const traffic::usage_limit& limit, const usage_bounds& bounds, double share,
    double overdraft) {
    const double rate = limit.rate * (1.0 + bounds.overage * overage_share);
    return {
        rate * share / milliseconds_per_second, limit.burst * share,
        bounds.slack * overdraft * share};
}

double
usage_cost(const traffic::usage_limit& limit, std::optional<double> tokens) {
    if (limit.unit == traffic::usage_unit::requests)
        return 1.0;
    return std::max(tokens.value_or(limit.plain_tokens), 1.0);
}

draw_result draw(
    usage_account& account, const account_terms& terms, double cost,
    base::steady_time now) {
    update(account, terms, now);
    const bool enough = account.level - cost >= -terms.overdraft;
    if (!enough && account.level < terms.burst)
        return {false, retry_time(account, terms, cost, now)};
    account.level -= cost;
    return {true, base::milliseconds{0}};
}

void stand_in(usage_account& account, base::steady_time now) {
    const bool after_pause = account.updated != base::steady_time{} &&
                             now - account.updated > sharing_silence;
    if (account.stands_in_since != base::steady_time{} && !after_pause)
        return;
    account = {};
    account.updated = now;
    account.stands_in_since = now;
}

void give_back(
    usage_account& account, const account_terms& terms, double cost,
    base::steady_time now) {
    update(account, terms, now);
    account.level = std::min(account.level + cost, terms.burst);
}

void charge(
    usage_account& account, const account_terms& terms, double cost,
    base::steady_time now) {
    update(account, terms, now);
    const double covered = std::min(cost, account.unused);
    account.unused -= covered;
    const double min_level = -std::max(terms.burst, terms.overdraft);
    account.level = std::max(
        account.level - (cost - covered), std::min(account.level, min_level));
}

account_shares shares_of(const group_view& group) {
    const bool settled = group.uptime >= discovery_time;
    const std::size_t known = group.heard + group.silent;
    const auto all =
        static_cast<double>(settled ? known : assumed_instances(known));
    return {
        static_cast<double>(group.heard) / all,
        static_cast<double>(group.here) / all, 1.0 / all};
}

} // namespace mintknot::policy
