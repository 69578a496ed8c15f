#include <mintknot/policy/news_age.hpp>

#include <criterion/criterion.h>

using namespace mintknot::policy;
using std::chrono::milliseconds;

Test(news_age, a_bound_that_cannot_be_kept_makes_no_busy_loop) {
    const news_times times = news_times_for(milliseconds{1});
    cr_assert(times.shared_watch >= milliseconds{100});
    cr_assert(times.pause >= milliseconds{60});
}

Test(news_age, the_parts_of_the_way_keep_the_bound_together) {
    // What a call to the store may take beyond its wait.
    constexpr milliseconds call_slack{900};
    for (const milliseconds bound : {milliseconds{2000}, milliseconds{5000}}) {
        const news_times times = news_times_for(bound);
        cr_assert(times.own_watch + call_slack <= bound);
        const milliseconds longest_pause = times.pause * 3 / 2;
        cr_assert(times.patience + longest_pause + request_way <= bound);
        cr_assert(2 * times.shared_watch < times.patience);
        cr_assert(times.patience + named_life(bound) + request_way <= bound);
    }
}
