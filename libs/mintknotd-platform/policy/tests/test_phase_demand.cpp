#include <mintknot/policy/phase_demand.hpp>

#include <criterion/criterion.h>

#include <cmath>

using namespace mintknot;
using namespace mintknot::policy;

Test(phase_demand, constant_part_of_prefill_is_not_engine_time) {
    phase_demand demand;
    // 60 ms constant, plus 1 ms for 20 tokens.
    for (int i = 0; i < 40; ++i) {
        const int tokens = 2000 + 100 * (i % 20);
        note_uncontended_prefill(
            demand, tokens, base::milliseconds(60 + tokens / 20));
    }
    const double estimate = mean_prefill_seconds(demand);
    cr_assert(std::abs(estimate - 0.147) < 0.01, "estimated %f", estimate);
}

Test(phase_demand, negative_slope_is_bounded) {
    phase_demand demand;
    cr_assert(mean_prefill_seconds(demand) == 0.0);
    // Longer prompts that take less time.
    for (int i = 0; i < 40; ++i)
        note_uncontended_prefill(
            demand, 1000 + 100 * (i % 20),
            base::milliseconds(300 - 10 * (i % 20)));
    cr_assert(mean_prefill_seconds(demand) >= 0.1);
}

Test(phase_demand, mean_times_follow_observations) {
    phase_demand demand;
    cr_assert(mean_hold_time(demand) == base::milliseconds(3000), "assumed");
    cr_assert(
        mean_first_event_time(demand) == base::milliseconds(150), "assumed");
    for (int i = 0; i < 300; ++i) {
        note_decode(demand, 0.1, base::milliseconds(1000));
        note_first_event(demand, base::milliseconds(400));
        note_hand_over(demand, base::milliseconds(200));
    }
    cr_assert(mean_hand_over_time(demand) > base::milliseconds(190));
    cr_assert(mean_hold_time(demand) < base::milliseconds(1100));
    cr_assert(mean_first_event_time(demand) > base::milliseconds(380));
}

Test(phase_demand, slowed_prefills_hardly_count) {
    // The engine time of a token is 0.018 ms. Two of five prefills meet another
    // prompt on their engine and take twice as long on average.
    phase_demand demand;
    for (int i = 0; i < 300; ++i) {
        const int tokens = 1500 + 370 * (i * 7 % 20);
        const double alone = 50.0 + 0.018 * tokens;
        const double met = i % 5 < 2 ? 0.018 * tokens * (1 + i % 3) / 2.0 : 0.0;
        note_uncontended_prefill(
            demand, tokens,
            base::milliseconds(static_cast<std::int64_t>(alone + met)));
    }
    const double mean_tokens = 1500 + 370 * 9.5;
    const double cost = 0.018 * mean_tokens / 1000.0;
    const double estimate = mean_prefill_seconds(demand);
    cr_assert(estimate < 1.15 * cost, "estimated %f, cost %f", estimate, cost);
    cr_assert(estimate > 0.85 * cost, "estimated %f, cost %f", estimate, cost);
}
