/// @file
/// Simulates the bound on retries for a group whose instances know the usage of
/// each other only with a delay, as in large groups.

#include <mintknot/policy/retry_allowance.hpp>

#include <criterion/criterion.h>

#include <deque>
#include <vector>

using namespace mintknot;
using namespace mintknot::policy;
using base::milliseconds;

namespace {

constexpr std::size_t instances = 58;
constexpr int requests_per_second = 356;
/// Number of retries of a call that full servers reject.
constexpr int retries_wanted = 3;
const retry_bounds bounds{0.2, 156.0, milliseconds{10000}};
const base::steady_time begin = base::steady_time{} + std::chrono::hours(1);

/// An instance and its usage as last reported to the others.
struct member {
    retry_allowance allowance;
    retry_usage reported;
    base::steady_time reported_at = begin;
};

class group {
public:
    /// @param heartbeat_interval time between two heartbeats of an instance.
    explicit group(milliseconds heartbeat_interval)
        : heartbeat_interval_(heartbeat_interval)
        , members_(instances) {}

    /// Simulates a period.
    /// @return the maximum usage in any window, as a fraction of the bound.
    double simulate(milliseconds time, bool servers_full) {
        double largest = 0.0;
        const base::steady_time end = now_ + time;
        const milliseconds gap{1000 / requests_per_second};
        for (; now_ < end; now_ += gap) {
            request(servers_full);
            largest = std::max(largest, share_used());
        }
        return largest;
    }

private:
    void request(bool servers_full) {
        member& at = members_[next_++ % instances];
        earn_retries(at.allowance, bounds, now_);
        requests_.push_back(now_);
        for (int i = 0; servers_full && i < retries_wanted; ++i)
            if (spend_retry(at.allowance, bounds, terms_for(at), now_))
                retries_.push_back(now_);
        if (now_ - at.reported_at >= heartbeat_interval_) {
            at.reported = usage(at.allowance, bounds, now_);
            at.reported_at = now_;
        }
    }

    spend_terms terms_for(const member& self) const {
        spend_terms terms;
        terms.instances = instances;
        terms.started = begin;
        terms.fleet.heard = instances - 1;
        for (const member& other : members_) {
            if (&other == &self)
                continue;
            terms.fleet.peers.requests += other.reported.requests;
            terms.fleet.peers.retries += other.reported.retries;
        }
        return terms;
    }

    double share_used() {
        for (auto* times : {&requests_, &retries_})
            while (!times->empty() && now_ - times->front() > bounds.window)
                times->pop_front();
        const double allowed =
            bounds.extra + bounds.ratio * static_cast<double>(requests_.size());
        return static_cast<double>(retries_.size()) / allowed;
    }

    milliseconds heartbeat_interval_;
    std::vector<member> members_;
    std::size_t next_ = 0;
    base::steady_time now_ = begin;
    std::deque<base::steady_time> requests_;
    std::deque<base::steady_time> retries_;
};

double largest_share(milliseconds heartbeat_interval) {
    group all(heartbeat_interval);
    all.simulate(std::chrono::seconds(15), false);
    return all.simulate(std::chrono::seconds(15), true);
}

} // namespace

Test(retry_bound, holds_with_frequent_heartbeats) {
    const double share = largest_share(milliseconds{60});
    cr_assert(share <= 1.0, "%.2f of the bound were used", share);
}

Test(retry_bound, holds_with_rare_heartbeats_between_data_centres) {
    const double share = largest_share(milliseconds{1200});
    cr_assert(share <= 1.0, "%.2f of the bound were used", share);
}
