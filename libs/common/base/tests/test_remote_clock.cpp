#include <mintknot/base/remote_clock.hpp>

#include <criterion/criterion.h>

using namespace mintknot::base;

namespace {

const steady_time start = steady_time{} + std::chrono::hours(1);

steady_time at(int ms) {
    return start + milliseconds(ms);
}

} // namespace

Test(remote_clock, a_first_answer_is_no_older_than_its_question) {
    remote_clock clock;
    cr_assert(clock.note(milliseconds(700), at(0), at(9)) == at(0));
}

Test(remote_clock, a_held_answer_is_as_old_as_the_other_clock_says) {
    remote_clock clock;
    clock.note(milliseconds(700), at(0), at(2));
    const steady_time made = clock.note(milliseconds(1700), at(2), at(1003));
    cr_assert(made >= at(998) && made <= at(1000));
}

Test(remote_clock, an_answer_that_was_long_on_its_way_stays_old) {
    remote_clock clock;
    clock.note(milliseconds(700), at(0), at(2));
    // Made after one second, arrived after five.
    const steady_time made = clock.note(milliseconds(1700), at(2), at(5000));
    cr_assert(made <= at(1002));
}

Test(remote_clock, a_clock_that_jumps_ahead_is_not_believed) {
    remote_clock clock;
    clock.note(milliseconds(700), at(0), at(2));
    cr_assert(clock.note(milliseconds(9000), at(10), at(12)) == at(10));
    // From here on it counts anew.
    const steady_time made = clock.note(milliseconds(10000), at(12), at(1014));
    cr_assert(made >= at(1008) && made <= at(1014));
}

Test(remote_clock, a_clock_that_jumps_back_is_never_late) {
    remote_clock clock;
    clock.note(milliseconds(9000), at(0), at(2));
    cr_assert(clock.note(milliseconds(10), at(50), at(60)) == at(50));
}

Test(remote_clock, never_later_than_the_truth_whatever_the_delays) {
    // The other clock is 5 s ahead and runs slow by 50 ppm; delays vary.
    remote_clock clock;
    int now = 0;
    for (int i = 0; i < 2000; ++i) {
        const int way_there = (i * 7) % 13;
        const int held = (i * 31) % 1000;
        const int way_back = (i * i) % 400;
        const int made = now + way_there + held;
        const milliseconds shown(5000 + made - made / 20000);
        const steady_time bound =
            clock.note(shown, at(now), at(made + way_back));
        cr_assert(bound <= at(made) + milliseconds(1));
        cr_assert(bound >= at(now));
        now = made + way_back;
    }
}
