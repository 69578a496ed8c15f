#include <mintknot/policy/load_shedding.hpp>
#include <mintknot/policy/standing_delay.hpp>

#include <criterion/criterion.h>

#include <algorithm>
#include <utility>

using namespace mintknot;
using namespace mintknot::policy;
using std::chrono::microseconds;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr base::steady_time start{};

/// A request's work at an instance, and how many come.
struct arrivals {
    double per_second = 0.0;
    microseconds work{0};
};

/// What became of the arrivals of a time.
struct outcome {
    double admitted = 0.0;
    double refused = 0.0;
    milliseconds longest_turn{0}; ///< Of the loop.
};

/// One instance whose loop does in each turn all the work that has come during
/// the last one; it samples its own delay.
class played_instance {
public:
    outcome play(const arrivals& load, milliseconds time) {
        outcome seen;
        const base::steady_time end = now_ + time;
        while (now_ < end) {
            const std::chrono::duration<double> turn = now_ - turn_began_;
            turn_began_ = now_;
            const double came = load.per_second * turn.count();
            backlog_ += came;
            if (refusing_)
                seen.refused += std::exchange(backlog_, 0.0);
            const double taken = std::min(backlog_, accepted_at_once);
            backlog_ -= taken;
            seen.admitted += taken;
            const auto busy = std::chrono::duration_cast<milliseconds>(
                std::chrono::duration<double>(load.work) * taken);
            now_ += std::max(idle_turn, busy);
            seen.longest_turn = std::max(seen.longest_turn, busy);
            if (now_ >= due_)
                sample();
        }
        return seen;
    }

    shedding_state state;
    peer_load neighbours{7, 0};

private:
    static constexpr milliseconds idle_turn{1};
    static constexpr double accepted_at_once = 16.0; ///< As event::listener.

    void sample() {
        const auto late = std::chrono::duration_cast<microseconds>(now_ - due_);
        note_sample(samples_, {now_, late}, loop_window);
        update(state, {standing_delay(samples_, loop_window, now_), {}});
        refusing_ = refuse_next_interval(state, shed_share(state, neighbours));
        due_ = now_ + shedding_interval;
    }

    base::steady_time now_ = start;
    base::steady_time turn_began_ = start;
    base::steady_time due_ = start + shedding_interval;
    delay_samples samples_;
    double backlog_ = 0.0; ///< Connections that have not been accepted.
    bool refusing_ = false;
};

constexpr arrivals usual{50.0, milliseconds(4)};
/// A plain request passes some five turns, and is to have its answer within
/// some seconds.
constexpr milliseconds max_turn{400};

} // namespace

Test(load_shedding, an_instance_that_gets_most_connections_stays_in_time) {
    for (const double per_second : {300.0, 500.0, 1000.0}) {
        played_instance one;
        one.play(usual, seconds(4));
        one.play({per_second, milliseconds(4)}, seconds(3));
        const outcome seen =
            one.play({per_second, milliseconds(4)}, seconds(7));
        cr_assert(seen.longest_turn < max_turn, "%g", per_second);
        cr_assert(seen.admitted > 0.5 * 250.0 * 7, "%g", per_second);
    }
}

Test(load_shedding, after_the_rush_every_connection_is_admitted) {
    played_instance one;
    one.play({500.0, milliseconds(4)}, seconds(7));
    one.play(usual, seconds(4));
    const outcome seen = one.play(usual, seconds(4));
    cr_assert(seen.refused == 0.0);
}

Test(load_shedding, an_instance_that_can_serve_all_refuses_nobody) {
    played_instance one;
    const outcome seen = one.play({200.0, milliseconds(4)}, seconds(10));
    cr_assert(seen.refused == 0.0);
}

Test(load_shedding, where_all_are_overloaded_nobody_is_refused_unread) {
    played_instance one;
    one.neighbours = {7, 7};
    const outcome seen = one.play({500.0, milliseconds(4)}, seconds(7));
    cr_assert(is_overloaded(one.state));
    cr_assert(seen.refused == 0.0);
}

Test(load_shedding, without_peers_nobody_is_refused_unread) {
    played_instance one;
    one.neighbours = {};
    const outcome seen = one.play({500.0, milliseconds(4)}, seconds(7));
    cr_assert(seen.refused == 0.0);
}

Test(load_shedding, a_slow_link_counts_like_a_late_loop) {
    shedding_state state;
    for (int i = 0; i < 40; ++i)
        update(state, {microseconds(0), milliseconds(120)});
    cr_assert(is_overloaded(state));
    for (int i = 0; i < 400; ++i)
        update(state, {microseconds(0), std::nullopt});
    cr_assert(own_share(state) == 0.0);
}

Test(load_shedding, one_standstill_refuses_nobody) {
    delay_samples samples;
    shedding_state state;
    base::steady_time now = start;
    for (const int late_ms : {0, 0, 0, 400, 0, 0}) {
        now += shedding_interval + milliseconds(late_ms);
        note_sample(samples, {now, milliseconds(late_ms)}, loop_window);
        update(state, {standing_delay(samples, loop_window, now), {}});
        cr_assert(own_share(state) == 0.0);
    }
}

Test(standing_delay, is_what_all_recent_samples_have_in_common) {
    delay_samples samples;
    const auto note = [&](int at_ms, int delay_ms) {
        note_sample(
            samples, {start + milliseconds(at_ms), milliseconds(delay_ms)},
            connect_window);
    };
    const auto standing = [&](int at_ms) {
        return standing_delay(
            samples, connect_window, start + milliseconds(at_ms));
    };
    note(0, 70);
    note(10, 90);
    cr_assert(!standing(10));
    note(20, 60);
    cr_assert(standing(20) == milliseconds(60));
    note(30, 2);
    cr_assert(standing(30) == milliseconds(2));
    note(290, 80);
    note(300, 85);
    note(310, 90);
    cr_assert(standing(310) == milliseconds(80));
    cr_assert(!standing(2000));
}
