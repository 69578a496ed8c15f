#include <mintknot/policy/answer_timeout.hpp>

#include <criterion/criterion.h>

using namespace mintknot;
using namespace mintknot::policy;

namespace {

constexpr base::milliseconds min_timeout{30};

/// Records a query and its answer.
/// @return the timeout of the next query.
base::milliseconds
after_answer(answer_times& times, base::milliseconds round_trip, int at_ms) {
    const base::steady_time sent_at{base::milliseconds{at_ms}};
    note_query_sent(times, "h", sent_at);
    note_answer_received(times, "h", sent_at + round_trip);
    return answer_timeout(times, "h", min_timeout);
}

} // namespace

Test(answer_timeout, nearby_instances_have_the_minimum_timeout) {
    answer_times times;
    cr_assert(answer_timeout(times, "h", min_timeout) == min_timeout);
    cr_assert(after_answer(times, base::milliseconds{2}, 1000) == min_timeout);
}

Test(answer_timeout, a_late_answer_raises_the_timeout) {
    answer_times times;
    cr_assert(
        after_answer(times, base::milliseconds{42}, 1000) ==
        base::milliseconds{84});
    // A single fast answer does not restore the minimum.
    cr_assert(
        after_answer(times, base::milliseconds{5}, 2000) > 2 * min_timeout);
    for (int i = 3; i < 40; ++i)
        after_answer(times, base::milliseconds{5}, i * 1000);
    cr_assert(answer_timeout(times, "h", min_timeout) == min_timeout);
}

Test(answer_timeout, a_frozen_instance_does_not_exceed_the_maximum) {
    answer_times times;
    cr_assert(
        after_answer(times, base::milliseconds{4000}, 1000) ==
        base::milliseconds{120});
}

Test(answer_timeout, an_unsolicited_answer_is_ignored) {
    answer_times times;
    note_answer_received(
        times, "h", base::steady_time{base::milliseconds{9000}});
    cr_assert(answer_timeout(times, "h", min_timeout) == min_timeout);
}
