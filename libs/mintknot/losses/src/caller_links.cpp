#include "caller_links.hpp"

#include <algorithm>
#include <cstdlib>
#include <span>
#include <tuple>

namespace mintknot::losses {

namespace {

/// Difference between the clocks of two instances that is tolerated.
constexpr std::int64_t max_clock_difference_ms = 500;
/// How long a caller that states no deadline is followed: the deadline that the
/// relay assumes for it.
constexpr std::int64_t assumed_deadline_ms = 60'000;
/// Callers with equal requests that are followed at the same time, so that the
/// search among them stays short. Above that the oldest is counted as refused.
constexpr std::size_t max_equal_callers = 256;

std::int64_t expiry(const linkable_try& one) {
    return one.started_at +
           (one.deadline_ms == 0 ? assumed_deadline_ms : one.deadline_ms);
}

std::int64_t end(const linkable_try& one) {
    return one.started_at + one.total_ms;
}

/// A caller whose last try so far was refused.
struct refused_caller {
    linkable_try first;
    linkable_try last;
    int refusals = 1;
};

/// Requests with equal content may come from independent callers. The deadline
/// tells them apart: it shrinks from one try of a caller to the next.
bool deadline_fits(const linkable_try& last, const linkable_try& next) {
    if (last.deadline_ms == 0 || next.deadline_ms == 0)
        return last.deadline_ms == next.deadline_ms;
    return next.deadline_ms < last.deadline_ms;
}

bool may_follow(const refused_caller& caller, const linkable_try& next) {
    return next.started_at + max_clock_difference_ms >= end(caller.last) &&
           next.started_at <= expiry(caller.first) + max_clock_difference_ms &&
           deadline_fits(caller.last, next);
}

/// The callers of one digest, in the order of their first tries.
class digest_group {
public:
    explicit digest_group(caller_account& account)
        : account_(account) {}

    void take(const linkable_try& next) {
        const auto found = caller_of(next);
        if (found == waiting_.end())
            take_first(next);
        else
            take_return(found, next);
    }

    /// Counts all callers that have not returned.
    void close() {
        for (const refused_caller& caller : waiting_)
            count_refused(caller);
        waiting_.clear();
    }

    /// Counts the callers that can no longer return at the given time.
    void expire(std::int64_t now) {
        std::erase_if(waiting_, [&](const refused_caller& caller) {
            const bool over =
                expiry(caller.first) + max_clock_difference_ms < now;
            if (over)
                count_refused(caller);
            return over;
        });
    }

private:
    using position = std::vector<refused_caller>::iterator;

    /// @return the caller whose deadline is nearest to that of the try.
    position caller_of(const linkable_try& next) {
        auto best = waiting_.end();
        std::int64_t least = 0;
        for (auto each = waiting_.begin(); each != waiting_.end(); ++each) {
            const std::int64_t distance =
                std::abs(expiry(each->first) - expiry(next));
            if (!may_follow(*each, next) ||
                (best != waiting_.end() && distance >= least))
                continue;
            best = each;
            least = distance;
        }
        return best;
    }

    void take_first(const linkable_try& next) {
        if (next.returned)
            ++account_.returns_without_first_try;
        if (next.result != try_result::refused) {
            count_caller(account_, next, next, 0);
            return;
        }
        if (waiting_.size() >= max_equal_callers) {
            count_refused(waiting_.front());
            waiting_.erase(waiting_.begin());
        }
        waiting_.push_back({next, next, 1});
    }

    void take_return(position caller, const linkable_try& next) {
        if (next.result == try_result::refused) {
            caller->last = next;
            ++caller->refusals;
            return;
        }
        count_caller(account_, caller->first, next, caller->refusals);
        waiting_.erase(caller);
    }

    void count_refused(const refused_caller& caller) {
        count_caller(account_, caller.first, caller.last, caller.refusals);
    }

    caller_account& account_;
    std::vector<refused_caller> waiting_;
};

/// Links tries of any digests. Changes their order.
void link(caller_account& account, std::span<linkable_try> tries) {
    std::sort(
        tries.begin(), tries.end(),
        [](const linkable_try& one, const linkable_try& other) {
            // Of tries at the same time, the one with more time left is first.
            return std::tuple(one.digest, one.started_at, -expiry(one)) <
                   std::tuple(other.digest, other.started_at, -expiry(other));
        });
    digest_group group(account);
    std::uint64_t digest = 0;
    for (const linkable_try& next : tries) {
        if (next.digest != digest)
            group.close();
        digest = next.digest;
        group.expire(next.started_at);
        group.take(next);
    }
    group.close();
}

} // namespace

void link_older_half(caller_account& account) {
    const auto half = static_cast<std::ptrdiff_t>(account.tries.size() / 2 + 1);
    const auto middle = account.tries.begin() + half;
    std::nth_element(
        account.tries.begin(), middle - 1, account.tries.end(),
        [](const linkable_try& one, const linkable_try& other) {
            return one.started_at < other.started_at;
        });
    link(account, {account.tries.begin(), middle});
    account.linked_early += half;
    account.tries.erase(account.tries.begin(), middle);
}

void link_tries(caller_account& account) {
    link(account, account.tries);
    account.tries.clear();
}

} // namespace mintknot::losses
