#include <mintknot/policy/answer_pace.hpp>

#include <criterion/criterion.h>

using namespace mintknot;
using namespace mintknot::policy;

namespace {

constexpr base::milliseconds least{30};

/// One question and its answer. @return what the next one may take.
base::milliseconds
after_answer(answer_paces& paces, base::milliseconds took, int at_ms) {
    const base::steady_time asked{base::milliseconds{at_ms}};
    note_asked(paces, "h", asked);
    note_answered(paces, "h", asked + took);
    return patience_for(paces, "h", least);
}

} // namespace

Test(answer_pace, near_instances_have_the_least) {
    answer_paces paces;
    cr_assert(patience_for(paces, "h", least) == least);
    cr_assert(after_answer(paces, base::milliseconds{2}, 1000) == least);
}

Test(answer_pace, a_late_answer_tells_how_far_it_is) {
    answer_paces paces;
    cr_assert(
        after_answer(paces, base::milliseconds{42}, 1000) ==
        base::milliseconds{84});
    // One quick answer does not make it near.
    cr_assert(after_answer(paces, base::milliseconds{5}, 2000) > 2 * least);
    for (int i = 3; i < 40; ++i)
        after_answer(paces, base::milliseconds{5}, i * 1000);
    cr_assert(patience_for(paces, "h", least) == least);
}

Test(answer_pace, one_that_stood_still_is_not_waited_for_as_long) {
    answer_paces paces;
    cr_assert(
        after_answer(paces, base::milliseconds{4000}, 1000) ==
        base::milliseconds{120});
}

Test(answer_pace, an_answer_that_nobody_asked_for_tells_nothing) {
    answer_paces paces;
    note_answered(paces, "h", base::steady_time{base::milliseconds{9000}});
    cr_assert(patience_for(paces, "h", least) == least);
}
