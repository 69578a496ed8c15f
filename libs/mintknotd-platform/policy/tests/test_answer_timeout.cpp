#include <mintknot/policy/answer_timeout.hpp>

#include <criterion/criterion.h>

using namespace mintknot;
using namespace mintknot::policy;

namespace {

constexpr base::milliseconds min_timeout{30};

/// One question and its answer. @return what the next one may take.
base::milliseconds
after_answer(answer_times& times, base::milliseconds round_trip, int at_ms) {
    const base::steady_time sent_at{base::milliseconds{at_ms}};
    note_query_sent(times, "h", sent_at);
    note_answer_received(times, "h", sent_at + round_trip);
    return answer_timeout(times, "h", min_timeout);
}

} // namespace

Test(answer_pace, near_instances_have_the_least) {
    answer_times times;
    cr_assert(answer_timeout(times, "h", min_timeout) == min_timeout);
    cr_assert(after_answer(times, base::milliseconds{2}, 1000) == min_timeout);
}

Test(answer_pace, a_late_answer_tells_how_far_it_is) {
    answer_times times;
    cr_assert(
        after_answer(times, base::milliseconds{42}, 1000) ==
        base::milliseconds{84});
    // One quick answer does not make it near.
    cr_assert(
        after_answer(times, base::milliseconds{5}, 2000) > 2 * min_timeout);
    for (int i = 3; i < 40; ++i)
        after_answer(times, base::milliseconds{5}, i * 1000);
    cr_assert(answer_timeout(times, "h", min_timeout) == min_timeout);
}

Test(answer_pace, one_that_stood_still_is_not_waited_for_as_long) {
    answer_times times;
    cr_assert(
        after_answer(times, base::milliseconds{4000}, 1000) ==
        base::milliseconds{120});
}

Test(answer_pace, an_answer_that_nobody_asked_for_tells_nothing) {
    answer_times times;
    note_answer_received(
        times, "h", base::steady_time{base::milliseconds{9000}});
    cr_assert(answer_timeout(times, "h", min_timeout) == min_timeout);
}
