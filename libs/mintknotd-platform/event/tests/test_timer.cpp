#include <mintknot/event/loop.hpp>

#include "suspended_clock.hpp"

#include <criterion/criterion.h>

using namespace mintknot;
using namespace mintknot::event;

Test(timer, one_that_fell_due_in_a_suspension_fires_after_it) {
    loop owner;
    timer due_later(owner);
    timer suspension(owner);
    timer beat(owner);
    timer limit(owner);
    bool fired = false;
    base::milliseconds told{0};
    owner.on_delay(base::milliseconds(500), [&](base::milliseconds delay) {
        told = delay;
    });
    due_later.start(base::milliseconds(10000), [&] {
        fired = true;
        owner.stop();
    });
    suspension.start(base::milliseconds(10), [] {
        base::tests::suspend_for(base::milliseconds(30000));
    });
    beat.start(base::milliseconds(50), [] {});
    limit.start(base::milliseconds(40000), [&] { owner.stop(); });
    owner.run();
    cr_assert(fired);
    cr_assert(told >= base::milliseconds(15000));
}
