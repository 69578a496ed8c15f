#include <mintknot/load/arrivals.hpp>

#include <criterion/criterion.h>

using namespace mintknot;

namespace {

load::mix two_parts() {
    load::mix_part often;
    often.share = 3;
    often.shared_prefixes = 2;
    often.shared_share = 0.5;
    load::mix_part seldom;
    seldom.cancel_share = 1;
    return {"n", "m", {often, seldom}};
}

} // namespace

Test(arrivals, the_same_seed_gives_the_same_run) {
    const load::arrival_options options{50, std::chrono::seconds{20}, 7};
    const auto first = make_arrivals(two_parts(), options);
    const auto second = make_arrivals(two_parts(), options);
    cr_assert_eq(first.size(), second.size());
    for (std::size_t i = 0; i < first.size(); ++i) {
        cr_assert(first[i].prompt == second[i].prompt);
        cr_assert(first[i].at == second[i].at);
    }
    auto other = options;
    other.seed = 8;
    cr_assert(make_arrivals(two_parts(), other)[0].prompt != first[0].prompt);
}

Test(arrivals, follow_rate_shares_and_prefixes) {
    const auto all =
        make_arrivals(two_parts(), {100, std::chrono::seconds{20}, 1});
    cr_assert(all.size() > 1800 && all.size() < 2200, "%zu", all.size());
    std::size_t often = 0;
    for (const auto& call : all) {
        often += call.part == 0 ? 1 : 0;
        cr_assert_eq(call.leave_after > 0, call.part == 1);
        if (call.part == 0)
            cr_assert(call.prompt.starts_with("history 0-"));
    }
    cr_assert(often > all.size() * 2 / 3);
}
