#include <mintknot/traffic/phase_demand.hpp>

#include <criterion/criterion.h>

#include <cmath>

using namespace mintknot;
using namespace mintknot::traffic;

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
