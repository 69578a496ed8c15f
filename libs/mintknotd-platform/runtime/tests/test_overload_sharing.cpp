#include "overload_sharing.hpp"

#include <criterion/criterion.h>

using namespace mintknot;
using namespace mintknot::runtime;

namespace {

struct fixture {
    std::vector<std::string> hosts{"p", "q"};
    std::vector<std::string> sent;
    event::loop owner;
    overload_sharing sharing{
        owner,
        {[this](const std::string&, const std::string& datagram) {
             sent.push_back(datagram);
         },
         [this] { return hosts; }}};
};

} // namespace

Test(overload_sharing, tells_all_neighbours_at_the_begin_and_the_end) {
    fixture f;
    f.sharing.set_overloaded(true);
    cr_assert(f.sent.size() == 2);
    cr_assert(
        decode_overload_notice(f.sent[0])->lifetime > base::milliseconds(0));
    f.sharing.set_overloaded(false);
    cr_assert(f.sent.size() == 4);
    cr_assert(
        decode_overload_notice(f.sent[3])->lifetime == base::milliseconds(0));
}

Test(overload_sharing, counts_the_neighbours_that_are_overloaded) {
    fixture f;
    const std::string begin = encode(overload_notice{base::milliseconds(2000)});
    cr_assert(f.sharing.receive("p", begin));
    cr_assert(f.sharing.receive("gone", begin));
    cr_assert(f.sharing.neighbours().peers == 2);
    cr_assert(f.sharing.neighbours().overloaded == 1);
    cr_assert(f.sharing.receive("p", encode(overload_notice{})));
    cr_assert(f.sharing.neighbours().overloaded == 0);
}

Test(overload_sharing, a_word_that_is_not_repeated_lapses) {
    fixture f;
    f.sharing.receive("p", encode(overload_notice{base::milliseconds(1)}));
    event::timer later(f.owner);
    later.start(base::milliseconds(5), [&] { f.owner.stop(); });
    f.owner.run();
    cr_assert(f.sharing.neighbours().overloaded == 0);
}

Test(overload_sharing, leaves_other_datagrams_to_others) {
    fixture f;
    cr_assert(!f.sharing.receive("p", ""));
    cr_assert(!f.sharing.receive("p", "nonsense"));
}
