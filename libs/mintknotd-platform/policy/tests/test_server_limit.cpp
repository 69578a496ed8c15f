#include <mintknot/policy/placement.hpp>
#include <mintknot/policy/server_limit.hpp>

#include <criterion/criterion.h>

#include <random>
#include <string>
#include <vector>

using namespace mintknot;
using namespace mintknot::policy;
using std::chrono::milliseconds;

namespace {

const base::steady_time start{std::chrono::hours(1)};
const std::string id = "s";

/// @return the state after an answer with a limit.
limit_view
limited_view(double rate, std::size_t holders, base::steady_time now) {
    limit_view view;
    note_limit_from_answer(view, id, rate, now);
    set_token_holders(view, id, holders, now);
    return view;
}

/// Simulates a group of instances that send requests to one limited server.
struct group_simulation {
    std::vector<limit_view> views;
    std::vector<milliseconds> sent;
    std::minstd_rand random{1};

    group_simulation(std::size_t instances, double rate) {
        const std::size_t holders =
            std::min(instances, max_token_holders(rate));
        for (std::size_t i = 0; i < instances; ++i)
            views.push_back(
                limited_view(rate, i < holders ? holders : 0, start));
    }

    /// Sends a request from an instance; without a token, it tries to borrow
    /// one from two peers.
    void request(std::size_t i, milliseconds at) {
        const base::steady_time now = start + at;
        if (!has_token(views[i], id, now)) {
            note_token_shortage(views[i], id, now);
            borrow(i, now);
        }
        if (!has_token(views[i], id, now))
            return;
        take_token(views[i], id, now);
        sent.push_back(at);
    }

    void borrow(std::size_t i, base::steady_time now) {
        for (int asked = 0; asked < 2; ++asked) {
            const std::size_t lender = random() % views.size();
            if (lender != i && lend_token(views[lender], id, now))
                add_borrowed_token(views[i], id, now);
        }
    }

    std::size_t max_within(milliseconds span) const {
        std::size_t most = 0;
        for (std::size_t first = 0, last = 0; last < sent.size(); ++last) {
            while (sent[last] - sent[first] > span)
                ++first;
            most = std::max(most, last - first + 1);
        }
        return most;
    }
};

constexpr milliseconds span{4000};

double allowed(double rate) {
    return 1.5 * 4.0 * rate + 5.0;
}

} // namespace

Test(server_limit, all_instances_together_stay_within_the_limit) {
    for (const std::size_t instances : {1U, 2U, 8U, 24U})
        for (const double rate : {0.0, 0.1, 0.5, 1.5, 3.0, 9.0, 40.0}) {
            group_simulation simulation(instances, rate);
            for (milliseconds at{0}; at < milliseconds{30000};
                 at += milliseconds{2})
                simulation.request(simulation.random() % instances, at);
            cr_assert(
                static_cast<double>(simulation.max_within(span)) <=
                    allowed(rate),
                "%zu instances, rate %g: %zu", instances, rate,
                simulation.max_within(span));
        }
}

Test(server_limit, tokens_saved_while_idle_do_not_exceed_the_limit) {
    for (const std::size_t instances : {8U, 24U})
        for (const double rate : {0.1, 1.5, 9.0}) {
            group_simulation simulation(instances, rate);
            for (milliseconds at{20000}; at < milliseconds{30000};
                 at += milliseconds{2})
                simulation.request(simulation.random() % instances, at);
            cr_assert(
                static_cast<double>(simulation.max_within(span)) <=
                allowed(rate));
        }
}

Test(server_limit, most_of_the_limit_is_used) {
    for (const std::size_t instances : {1U, 2U, 8U, 24U})
        for (const double rate : {0.5, 1.5, 3.0, 9.0, 40.0}) {
            group_simulation simulation(instances, rate);
            for (milliseconds at{0}; at < milliseconds{60000};
                 at += milliseconds{2})
                simulation.request(simulation.random() % instances, at);
            cr_assert(
                static_cast<double>(simulation.sent.size()) >=
                0.8 * rate * 60.0);
        }
}

Test(server_limit, one_busy_instance_borrows_tokens_of_idle_peers) {
    group_simulation simulation(8, 9.0);
    for (milliseconds at{0}; at < milliseconds{60000}; at += milliseconds{20})
        simulation.request(0, at);
    cr_assert(static_cast<double>(simulation.sent.size()) >= 0.5 * 9.0 * 60.0);
}

Test(server_limit, an_answer_without_a_limit_ends_it_after_the_delay) {
    limit_view view = limited_view(2.0, 1, start);
    note_limit_from_answer(view, id, std::nullopt, start + milliseconds{300});
    cr_assert(limit_of(view, id) == 2.0);
    cr_assert(!has_token(view, id, start + milliseconds{300}));
    cr_assert(note_limit_from_answer(
        view, id, std::nullopt, start + milliseconds{600}));
    cr_assert(!limit_of(view, id));
    cr_assert(has_token(view, id, start + milliseconds{600}));
}

Test(server_limit, older_reports_are_ignored) {
    limit_view view = limited_view(2.0, 1, start);
    const base::steady_time now = start + milliseconds{1000};
    cr_assert(!note_limit(view, id, 9.0, start - milliseconds{1}, now));
    cr_assert(!note_limit(view, id, std::nullopt, start, now));
    cr_assert(limit_of(view, id) == 2.0);
    cr_assert(note_limit(view, id, std::nullopt, now, now));
    cr_assert(!note_limit(view, id, 2.0, start, now));
    cr_assert(!limit_of(view, id));
}

Test(server_limit, a_rate_above_the_maximum_is_no_limit) {
    limit_view view;
    cr_assert(!note_limit_from_answer(view, id, 1e300, start));
    cr_assert(has_token(view, id, start));
}

Test(server_limit, a_server_with_limit_zero_is_tried_periodically) {
    limit_view view = limited_view(0.0, 4, start);
    cr_assert(!has_token(view, id, start + milliseconds{20000}));
    cr_assert(has_token(view, id, start + milliseconds{40001}));
}

Test(server_limit, an_instance_without_a_share_loses_its_token) {
    limit_view view = limited_view(2.0, 1, start);
    const base::steady_time now = start + milliseconds{1000};
    cr_assert(has_token(view, id, now));
    set_token_holders(view, id, 0, now);
    cr_assert(!has_token(view, id, now + milliseconds{60000}));
}

Test(server_limit, a_borrowed_token_expires) {
    limit_view view = limited_view(2.0, 0, start);
    add_borrowed_token(view, id, start);
    cr_assert(has_token(view, id, start + milliseconds{399}));
    cr_assert(!has_token(view, id, start + milliseconds{401}));
}

Test(server_limit, a_token_needed_locally_is_not_lent) {
    limit_view view = limited_view(2.0, 1, start);
    const base::steady_time now = start + milliseconds{1000};
    note_token_shortage(view, id, now);
    cr_assert(!lend_token(view, id, now));
    cr_assert(lend_token(view, id, now + milliseconds{600}));
    cr_assert(!lend_token(view, id, now + milliseconds{600}));
}

Test(server_limit, limits_without_reports_expire) {
    limit_view view = limited_view(2.0, 1, start);
    expire_limits(view, start + limit_lifetime);
    cr_assert(limit_of(view, id) == 2.0);
    expire_limits(view, start + limit_lifetime + milliseconds{1});
    cr_assert(!limit_of(view, id));
}

Test(server_limit, the_wait_for_a_token_follows_the_share) {
    limit_view view = limited_view(2.0, 2, start);
    cr_assert(time_until_token(view, id, start) == milliseconds{1000});
    cr_assert(
        time_until_token(view, id, start + milliseconds{400}) ==
        milliseconds{600});
    cr_assert(
        time_until_token(view, id, start + milliseconds{1000}) ==
        milliseconds{0});
    cr_assert(time_until_token(view, "other", start) == milliseconds{0});
}
