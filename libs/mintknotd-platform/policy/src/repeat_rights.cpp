#include <mintknot/policy/repeat_rights.hpp>

#include <mintknot/policy/group.hpp>
#include <mintknot/policy/usage_steps.hpp>

#include <algorithm>
#include <cmath>

namespace mintknot::policy {

namespace {

/// Part of the bound that is given out. An instance spends most when its window
/// holds most requests, and not all do so at one time: with the whole of it, 58
/// instances of 6 requests a second each used up to 1.06 of the bound in some
/// window (test_repeat_rights.cpp), with this part 0.96.
constexpr double given_share = 0.9;
/// An instance asks for more when it has fewer repeats left than this: those of
/// one call that full servers turn away, up to three, are then there.
constexpr int low_water = 3;
/// Lent is this part of what is left, so that the lender can still serve its
/// own callers.
constexpr int lent_part = 2;

int sum(const std::vector<repeat_loan>& loans) {
    int repeats = 0;
    for (const repeat_loan& loan : loans)
        repeats += loan.repeats;
    return repeats;
}

void drop_lapsed(retry_allowance& allowance, base::steady_time now) {
    const auto lapsed = [now](const repeat_loan& loan) {
        return loan.until <= now || loan.repeats == 0;
    };
    std::erase_if(allowance.borrowed, lapsed);
    std::erase_if(allowance.lent, lapsed);
}

/// @return the own part of the extra.
double extra_part(
    const retry_bounds& bounds, const spend_terms& terms,
    base::steady_time now) {
    if (now - terms.started < bounds.window)
        return 0.0;
    return bounds.extra /
           static_cast<double>(std::max<std::size_t>(terms.instances, 1));
}

/// @return whole repeats that are left of the own part.
int own_left(
    const retry_allowance& allowance, const retry_bounds& bounds,
    const spend_terms& terms, base::steady_time now) {
    const window_sums all = sums(allowance.used, bounds, now);
    const window_sums borrowed = sums(allowance.on_loan, bounds, now);
    const double earned =
        bounds.ratio * static_cast<double>(all.within.requests);
    const double right =
        given_share * (earned + extra_part(bounds, terms, now));
    const auto used =
        static_cast<double>(all.touched.repeats - borrowed.touched.repeats);
    const double left = right - used - sum(allowance.lent);
    return std::max(0, static_cast<int>(std::floor(left)));
}

bool take_borrowed(retry_allowance& allowance) {
    if (allowance.borrowed.empty())
        return false;
    --allowance.borrowed.front().repeats;
    return true;
}

} // namespace

bool spend_right(
    retry_allowance& allowance, const retry_bounds& bounds,
    const spend_terms& terms, base::steady_time now) {
    drop_lapsed(allowance, now);
    const bool on_loan = take_borrowed(allowance);
    if (!on_loan && own_left(allowance, bounds, terms, now) < 1)
        return false;
    ++newest(allowance.used, bounds, now).repeats;
    if (on_loan)
        ++newest(allowance.on_loan, bounds, now).repeats;
    return true;
}

int repeats_to_borrow(
    retry_allowance& allowance, const retry_bounds& bounds,
    const spend_terms& terms, base::steady_time now) {
    if (!is_large_group(terms.instances))
        return 0;
    drop_lapsed(allowance, now);
    const int left =
        own_left(allowance, bounds, terms, now) + sum(allowance.borrowed);
    return left < low_water ? max_loan - left : 0;
}

int lend(
    retry_allowance& allowance, const retry_bounds& bounds,
    const spend_terms& terms, int wanted, base::steady_time now) {
    drop_lapsed(allowance, now);
    const int left = own_left(allowance, bounds, terms, now);
    const int repeats = std::min({left / lent_part, wanted, max_loan});
    if (repeats < 1)
        return 0;
    allowance.lent.push_back({repeats, now + loan_life + bounds.window});
    return repeats;
}

int borrow(
    retry_allowance& allowance, int repeats, base::steady_time asked,
    base::steady_time now) {
    drop_lapsed(allowance, now);
    const base::steady_time until = asked + loan_life;
    if (repeats < 1 || until <= now)
        return 0;
    const int taken = std::min(repeats, max_loan);
    allowance.borrowed.push_back({taken, until});
    return taken;
}

} // namespace mintknot::policy
