#include <mintknot/policy/group.hpp>

#include <criterion/criterion.h>
#include <fmt/format.h>

#include <algorithm>

using namespace mintknot::policy;

namespace {

std::vector<std::string> hosts(std::size_t count) {
    std::vector<std::string> result;
    for (std::size_t i = 0; i < count; ++i)
        result.push_back(fmt::format("10.0.0.{}", i));
    return result;
}

} // namespace

Test(group, a_data_centre_has_two_readers_and_one_for_each_dozen) {
    cr_assert_eq(store_readers(hosts(1)).size(), 1U);
    cr_assert_eq(store_readers(hosts(9)).size(), 2U);
    cr_assert_eq(store_readers(hosts(36)).size(), 3U);
}

Test(group, all_choose_the_same_readers) {
    std::vector<std::string> shuffled = hosts(40);
    std::reverse(shuffled.begin(), shuffled.end());
    cr_assert(store_readers(hosts(40)) == store_readers(shuffled));
}

Test(group, the_first_host_looks_after_phases) {
    cr_assert(looks_after_phases("10.0.0.1", {"10.0.0.2", "10.0.0.3"}));
    cr_assert(!looks_after_phases("10.0.0.2", {"10.0.0.1", "10.0.0.3"}));
    cr_assert(looks_after_phases("10.0.0.2", {}));
}

Test(group, a_fresh_instance_assumes_some_others) {
    cr_assert_eq(assumed_instances(1), 10U);
    cr_assert_eq(assumed_instances(30), 30U);
    cr_assert(!is_large(24));
    cr_assert(is_large(25));
}

Test(group, demand_is_told_to_who_looks_after_phases_in_the_data_centre) {
    cr_assert(reader_of_demand("b", {"a", "c", "d"}, {"a", "c"}) == "a");
    cr_assert(reader_of_demand("b", {"a", "c", "d"}, {"c"}).empty());
    cr_assert(reader_of_demand("a", {"b", "c"}, {"b"}).empty());
    cr_assert(reader_of_demand("a", {}, {}).empty());
}
