#include <mintknot/control/mailbox.hpp>

#include <criterion/criterion.h>

#include <thread>

using namespace mintknot;

Test(mailbox, keeps_the_order_and_its_bound) {
    control::mailbox<int> box(3);
    for (int i = 0; i < 5; ++i)
        cr_assert_eq(box.post(i), i < 3);
    cr_assert(box.take_all({}) == std::vector<int>({0, 1, 2}));
    cr_assert(box.take_all({}).empty());
}

Test(mailbox, wakes_the_reader) {
    control::mailbox<int> box(3);
    std::thread writer([&] { box.post(7); });
    const auto far = base::steady_clock::now() + std::chrono::hours(1);
    cr_assert(box.take_all(far) == std::vector<int>{7});
    writer.join();
}
