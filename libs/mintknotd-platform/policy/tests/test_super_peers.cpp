#include <mintknot/policy/super_peers.hpp>

#include <criterion/criterion.h>

#include <algorithm>

using namespace mintknot::policy;

namespace {

/// @return members of a data centre, the strong ones first.
std::vector<instance_info> members(int strong, int weak) {
    std::vector<instance_info> result;
    for (int i = 0; i < strong + weak; ++i)
        result.push_back(
            {"h" + std::to_string(i), "a",
             capacity_class(i < strong ? 1.0 : 0.12)});
    return result;
}

std::size_t chosen(int strong, int weak, std::size_t data_centres) {
    return count_super_peers(rank_members(members(strong, weak)), data_centres);
}

} // namespace

Test(super_peers, capacity_class_is_logarithmic) {
    cr_assert(capacity_class(0.12) == capacity_class(0.1));
    cr_assert(capacity_class(0.25) > capacity_class(0.12));
    cr_assert(capacity_class(1.0) == capacity_class(0.5) + 1);
    cr_assert(capacity_class(0.0) == 0);
}

Test(super_peers, rank_does_not_depend_on_input_order) {
    std::vector<instance_info> all = members(3, 40);
    const std::vector<instance_info> one = rank_members(all);
    std::reverse(all.begin(), all.end());
    cr_assert(rank_members(all) == one);
    for (std::size_t i = 0; i < 3; ++i)
        cr_assert(one[i].capacity == capacity_class(1.0));
}

Test(super_peers, weak_members_only_fill_up) {
    cr_assert(chosen(10, 187, 5) == 10);
    cr_assert(chosen(30, 10, 5) == 12);
    cr_assert(chosen(2, 187, 5) == 6);
    cr_assert(chosen(0, 197, 5) == 12);
    cr_assert(chosen(0, 4, 5) == 4);
    cr_assert(count_super_peers({}, 5) == 0);
}

Test(super_peers, number_is_bounded_over_data_centres) {
    for (const std::size_t data_centres : {1, 5, 10, 15, 20})
        cr_assert(chosen(0, 100, data_centres) * data_centres <= 60);
}

Test(super_peers, leaving_member_keeps_order_of_others) {
    std::vector<instance_info> all = members(0, 100);
    const std::vector<instance_info> before = rank_members(all);
    std::erase(all, before[1]);
    const std::vector<instance_info> after = rank_members(all);
    cr_assert(after[0] == before[0]);
    cr_assert(std::equal(after.begin() + 1, after.end(), before.begin() + 2));
}

Test(super_peers, silent_members_are_skipped) {
    const std::vector<instance_info> all = rank_members(members(0, 6));
    const auto asked = registrars_to_ask(all, all[1].host, {all[2].host});
    cr_assert(asked == std::vector<std::string>({all[0].host, all[3].host}));
    cr_assert(is_registrar(all, all[2].host));
    cr_assert(!is_registrar(all, all[3].host));
    cr_assert(!is_registrar(all, "unknown"));
}
