/// @file
/// Simulates the bound on retries in large groups in virtual time: full servers
/// reject calls, and instances lend each other retries by datagrams that are
/// delayed, lost or blocked by a network partition.

#include <mintknot/policy/retry_quota.hpp>

#include <criterion/criterion.h>

#include <algorithm>
#include <deque>
#include <functional>
#include <random>
#include <vector>

using namespace mintknot;
using namespace mintknot::policy;
using base::milliseconds;

namespace {

const base::steady_time begin = base::steady_time{} + std::chrono::hours(1);
constexpr milliseconds tick{50};
/// Number of retries of a call that full servers reject.
constexpr int retries_wanted = 3;
/// Same values as in the runtime: peers queried at once, and the interval.
constexpr int peers_queried = 4;
constexpr milliseconds query_interval{250};

/// Parameters of a simulated group and its load.
struct simulation_options {
    std::size_t instances = 295;
    std::size_t data_centres = 5;
    double requests_per_instance = 1.3; ///< Per second.
    double extra = 630.0;
    milliseconds delay{3}; ///< One-way delay of a datagram.
    double loss = 0.0;     ///< Fraction of the datagrams.
    /// @return true if requests of that instance are rejected by full servers.
    std::function<bool(std::size_t instance)> overloaded = [](std::size_t) {
        return true;
    };
    std::size_t partitioned_data_centre = SIZE_MAX;
    /// Number of instances that are killed and restarted at once.
    std::size_t killed = 0;
    milliseconds kill_gap{2000};
    unsigned seed = 1;
};

/// A datagram with a loan, in transit.
struct loan_datagram {
    base::steady_time arrives;
    std::size_t to = 0;
    int retries = 0;
    base::steady_time queried_at;
};

struct member {
    retry_allowance allowance;
    base::steady_time started = begin - std::chrono::hours(1);
    base::steady_time queried_at{};
};

/// Result of a simulation.
struct outcome {
    double largest_share = 0.0; ///< Used of the bound, in any window.
    double last_share = 0.0;    ///< In the last window.
    double granted = 1.0;       ///< Fraction of the retries wanted.
};

class group {
public:
    explicit group(const simulation_options& options)
        : options_(options)
        , members_(options.instances)
        , random_(options.seed) {
        bounds_.extra = options.extra;
    }

    /// Simulates a period.
    /// @return the usage of the bound.
    outcome simulate(milliseconds time, bool servers_full) {
        const base::steady_time end = now_ + time;
        outcome seen;
        for (; now_ < end; now_ += tick) {
            deliver();
            kill();
            for (std::size_t i = 0; i < members_.size(); ++i)
                requests(i, servers_full && options_.overloaded(i));
            seen.last_share = share_used();
            seen.largest_share = std::max(seen.largest_share, seen.last_share);
        }
        if (wanted_ > 0)
            seen.granted = static_cast<double>(granted_) / wanted_;
        return seen;
    }

    /// Kills and restarts all instances.
    void restart_all() {
        for (member& each : members_)
            each = {{}, now_, {}};
        loans_.clear();
    }

private:
    double draw() {
        return std::uniform_real_distribution<double>(0.0, 1.0)(random_);
    }

    void requests(std::size_t index, bool servers_full) {
        member& at = members_[index];
        const double mean = options_.requests_per_instance *
                            std::chrono::duration<double>(tick).count();
        int count = std::poisson_distribution<int>(mean)(random_);
        for (; count > 0; --count) {
            earn_retries(at.allowance, bounds_, now_);
            requests_.push_back(now_);
            for (int i = 0; servers_full && i < retries_wanted; ++i)
                retry(index);
        }
    }

    void retry(std::size_t index) {
        member& at = members_[index];
        ++wanted_;
        if (spend_retry(at.allowance, bounds_, terms_of(at), now_)) {
            ++granted_;
            retries_.push_back(now_);
        }
        const int wanted =
            retries_to_borrow(at.allowance, bounds_, terms_of(at), now_);
        if (wanted == 0 || now_ - at.queried_at < query_interval)
            return;
        at.queried_at = now_;
        for (int i = 0; i < peers_queried; ++i)
            query(index, wanted);
    }

    void query(std::size_t index, int wanted) {
        const std::size_t peer = random_() % members_.size();
        if (peer == index || is_partitioned(index) != is_partitioned(peer) ||
            draw() < options_.loss)
            return;
        member& lender = members_[peer];
        const int retries = lend_retries(
            lender.allowance, bounds_, terms_of(lender), wanted,
            now_ + options_.delay);
        if (retries > 0 && draw() >= options_.loss)
            loans_.push_back({now_ + 2 * options_.delay, index, retries, now_});
    }

    bool is_partitioned(std::size_t index) const {
        return index % options_.data_centres ==
               options_.partitioned_data_centre;
    }

    void deliver() {
        while (!loans_.empty() && loans_.front().arrives <= now_) {
            const loan_datagram& next = loans_.front();
            add_borrowed_retries(
                members_[next.to].allowance, next.retries, next.queried_at,
                now_);
            loans_.pop_front();
        }
    }

    void kill() {
        if (options_.killed == 0 || now_ - killed_ < options_.kill_gap)
            return;
        killed_ = now_;
        for (std::size_t i = 0; i < options_.killed; ++i)
            members_[random_() % members_.size()] = {{}, now_, {}};
    }

    spend_terms terms_of(const member& self) const {
        spend_terms terms;
        terms.instances = members_.size();
        terms.started = self.started;
        return terms;
    }

    double share_used() {
        for (auto* times : {&requests_, &retries_})
            while (!times->empty() && now_ - times->front() > bounds_.window)
                times->pop_front();
        const double allowed =
            bounds_.extra +
            bounds_.ratio * static_cast<double>(requests_.size());
        return static_cast<double>(retries_.size()) / allowed;
    }

    simulation_options options_;
    retry_bounds bounds_;
    std::vector<member> members_;
    std::minstd_rand random_;
    base::steady_time now_ = begin;
    base::steady_time killed_ = begin;
    std::deque<base::steady_time> requests_;
    std::deque<base::steady_time> retries_;
    std::deque<loan_datagram> loans_;
    int wanted_ = 0;
    int granted_ = 0;
};

/// Simulates a period without faults, then one with full servers.
outcome simulate(const simulation_options& options) {
    group all(options);
    all.simulate(std::chrono::seconds(12), false);
    return all.simulate(std::chrono::seconds(25), true);
}

constexpr unsigned seeds = 10;

/// Simulates with several seeds.
/// @return the worst value of each result.
outcome simulate_seeds(simulation_options options) {
    outcome worst{0.0, 1e9, 1.0};
    for (options.seed = 1; options.seed <= seeds; ++options.seed) {
        const outcome seen = simulate(options);
        worst.largest_share = std::max(worst.largest_share, seen.largest_share);
        worst.last_share = std::min(worst.last_share, seen.last_share);
        worst.granted = std::min(worst.granted, seen.granted);
    }
    return worst;
}

void expect(const outcome& seen, double least) {
    cr_log_info(
        "largest %.2f, last %.2f, granted %.2f", seen.largest_share,
        seen.last_share, seen.granted);
    cr_assert(
        seen.largest_share <= 1.0, "%.2f of the bound", seen.largest_share);
    cr_assert(
        seen.last_share >= least, "only %.2f of the bound", seen.last_share);
}

simulation_options fleet_of(std::size_t instances, std::size_t data_centres) {
    simulation_options options;
    options.instances = instances;
    options.data_centres = data_centres;
    return options;
}

} // namespace

Test(retry_quota, all_of_295_instances_keep_and_use_the_bound) {
    expect(simulate_seeds(fleet_of(295, 5)), 0.55);
}

Test(retry_quota, all_of_400_instances_keep_and_use_the_bound) {
    expect(simulate_seeds(fleet_of(400, 15)), 0.55);
}

Test(retry_quota, a_group_of_58_with_more_load_keeps_the_bound) {
    simulation_options options = fleet_of(58, 3);
    options.requests_per_instance = 6.2;
    options.extra = 156.0;
    expect(simulate_seeds(options), 0.8);
}

Test(retry_quota, one_overloaded_data_centre_borrows_from_the_others) {
    simulation_options options = fleet_of(295, 5);
    options.overloaded = [](std::size_t index) { return index % 5 == 0; };
    expect(simulate_seeds(options), 0.4);
}

Test(retry_quota, one_overloaded_instance_borrows_enough) {
    simulation_options options = fleet_of(295, 5);
    options.overloaded = [](std::size_t index) { return index == 7; };
    const outcome seen = simulate_seeds(options);
    expect(seen, 0.0);
    cr_assert(seen.granted >= 0.8, "%.2f of what was wanted", seen.granted);
}

Test(retry_quota, delayed_and_lost_datagrams_only_waste_loans) {
    simulation_options options = fleet_of(295, 5);
    options.delay = milliseconds(900);
    options.loss = 0.3;
    expect(simulate_seeds(options), 0.4);
}

Test(retry_quota, a_partitioned_data_centre_keeps_the_bound) {
    simulation_options options = fleet_of(295, 5);
    options.partitioned_data_centre = 2;
    expect(simulate_seeds(options), 0.55);
}

Test(retry_quota, frequent_restarts_keep_the_bound) {
    simulation_options options = fleet_of(295, 5);
    options.killed = 24;
    expect(simulate_seeds(options), 0.35);
}

namespace {

/// Simulates full servers with a restart of all instances after eleven seconds.
void simulate_restart(simulation_options options, double least) {
    for (options.seed = 1; options.seed <= seeds; ++options.seed) {
        group all(options);
        all.simulate(std::chrono::seconds(12), false);
        const outcome before = all.simulate(std::chrono::seconds(11), true);
        all.restart_all();
        const outcome after = all.simulate(std::chrono::seconds(25), true);
        cr_assert(before.largest_share <= 1.0, "%.2f", before.largest_share);
        cr_assert(after.largest_share <= 1.0, "%.2f", after.largest_share);
        cr_assert(after.last_share >= least, "%.2f", after.last_share);
    }
}

} // namespace

Test(retry_quota, a_restart_of_all_under_overload_keeps_the_bound) {
    simulate_restart(fleet_of(295, 5), 0.55);
}

Test(retry_quota, a_restart_of_all_keeps_a_bound_that_is_mostly_extra) {
    simulation_options options = fleet_of(295, 5);
    options.requests_per_instance = 0.3;
    simulate_restart(options, 0.4);
}

Test(retry_quota, a_loan_expires_relative_to_its_request) {
    const retry_bounds bounds{0.2, 630.0, milliseconds{10000}};
    const spend_terms terms{295, {}, begin - std::chrono::hours(1)};
    retry_allowance allowance;
    add_borrowed_retries(allowance, 4, begin, begin + loan_lifetime);
    cr_assert(allowance.borrowed.empty(), "an expired loan was added");
    add_borrowed_retries(
        allowance, 4, begin, begin + loan_lifetime - milliseconds(1));
    cr_assert(spend_retry(
        allowance, bounds, terms, begin + loan_lifetime - milliseconds(1)));
    int later = 0;
    while (later < 10 &&
           spend_retry(allowance, bounds, terms, begin + loan_lifetime))
        ++later;
    cr_assert(later == 1, "spent %d of an own quota of 1.9", later);
}

Test(retry_quota, a_lender_counts_a_loan_as_spent) {
    const retry_bounds bounds{0.2, 2950.0, milliseconds{10000}};
    const spend_terms terms{295, {}, begin - std::chrono::hours(1)};
    retry_allowance allowance; // Its quota is nine.
    cr_assert(lend_retries(allowance, bounds, terms, max_loan, begin) == 4);
    int spent = 0;
    while (spent < 20 && spend_retry(allowance, bounds, terms, begin))
        ++spent;
    cr_assert(spent == 5, "spent %d", spent);
    cr_assert(lend_retries(allowance, bounds, terms, max_loan, begin) == 0);
    const auto after = begin + loan_lifetime + bounds.window;
    cr_assert(lend_retries(allowance, bounds, terms, max_loan, after) == 4);
}
