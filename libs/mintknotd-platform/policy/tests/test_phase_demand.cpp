#include <mintknot/policy/phase_demand.hpp>

#include <criterion/criterion.h>

#include <cmath>

using namespace mintknot;
using namespace mintknot::policy;

Test(phase_demand, what_every_read_takes_besides_is_not_engine_time) {
    phase_demand demand;
    // 60 ms, and 1 ms for 20 tokens.
    for (int i = 0; i < 40; ++i) {
        const int tokens = 2000 + 100 * (i % 20);
        note_read_alone(demand, tokens, base::milliseconds(60 + tokens / 20));
    }
    const double seen = prefill_seconds(demand);
    cr_assert(std::abs(seen - 0.147) < 0.01, "seen %f", seen);
}

Test(phase_demand, odd_observations_are_bounded) {
    phase_demand demand;
    cr_assert(prefill_seconds(demand) == 0.0);
    // Longer prompts that take less time.
    for (int i = 0; i < 40; ++i)
        note_read_alone(
            demand, 1000 + 100 * (i % 20),
            base::milliseconds(300 - 10 * (i % 20)));
    cr_assert(prefill_seconds(demand) >= 0.1);
}

Test(phase_demand, times_are_learned_from_what_is_seen) {
    phase_demand demand;
    cr_assert(mean_hold(demand) == base::milliseconds(3000), "assumed");
    cr_assert(mean_start(demand) == base::milliseconds(150), "assumed");
    for (int i = 0; i < 300; ++i) {
        note_decode(demand, 0.1, base::milliseconds(1000));
        note_start(demand, base::milliseconds(400));
        note_hand_over(demand, base::milliseconds(200));
    }
    cr_assert(mean_hand_over(demand) > base::milliseconds(190));
    cr_assert(mean_hold(demand) < base::milliseconds(1100));
    cr_assert(mean_start(demand) > base::milliseconds(380));
}
