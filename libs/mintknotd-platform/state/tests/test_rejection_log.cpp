#include <mintknot/state/rejection_log.hpp>

#include <criterion/criterion.h>

using namespace mintknot;
using state::rejection_log;

// A malformed row that is written every 100 ms must not fill the log.
Test(rejection_log, each_document_gets_one_line_within_the_interval) {
    rejection_log log;
    base::steady_time now = base::steady_clock::now();
    cr_assert(log.note("a", now) == 1);
    cr_assert(log.note("b", now) == 1);
    for (int i = 0; i < 9; ++i)
        cr_assert(!log.note("a", now += base::milliseconds(100)));
    now += rejection_log::min_interval;
    cr_assert(log.note("a", now) == 10);
    cr_assert(log.note("b", now) == 1);
}

Test(rejection_log, remembers_a_bounded_number_of_documents) {
    rejection_log log;
    const base::steady_time now = base::steady_clock::now();
    for (int i = 0; i < 5000; ++i)
        cr_assert(log.note(std::to_string(i), now).has_value());
    cr_assert(log.note("0", now).has_value());
}
