#include <mintknot/policy/group.hpp>

#include <criterion/criterion.h>
#include <fmt/format.h>

#include <algorithm>
#include <map>
#include <string>
#include <vector>

using namespace mintknot::policy;

namespace {

std::vector<std::string> hosts(std::size_t count) {
    std::vector<std::string> result;
    for (std::size_t i = 0; i < count; ++i)
        result.push_back(fmt::format("10.0.0.{}", i));
    return result;
}

} // namespace

namespace {

using host_list = std::vector<std::string>;

/// Who asks whom in a data centre of so many instances.
std::map<std::string, host_list> sources_of_all(std::size_t count) {
    std::map<std::string, host_list> result;
    for (const std::string& host : hosts(count))
        result[host] = store_access_of(host, hosts(count)).sources;
    return result;
}

/// @return those that ask the store itself.
host_list store_readers(std::size_t count) {
    host_list readers;
    for (const auto& [host, sources] : sources_of_all(count))
        if (sources == host_list{host})
            readers.push_back(host);
    return readers;
}

} // namespace

Test(group, two_instances_of_a_data_centre_read_the_store) {
    cr_assert_eq(store_readers(1).size(), 1U);
    for (const std::size_t count : {2, 9, 26, 36, 59, 100})
        cr_assert_eq(store_readers(count).size(), 2U, "of %zu", count);
}

namespace {

/// @return over how many instances news of the store comes to the host.
int hops(
    const std::map<std::string, host_list>& sources, const std::string& host) {
    int most = 0;
    for (const std::string& source : sources.at(host))
        if (source != host)
            most = std::max(most, 1 + hops(sources, source));
    return most;
}

} // namespace

Test(group, all_hear_of_the_store_over_two_others_at_most) {
    for (const std::size_t count : {1, 3, 9, 26, 36, 59, 100}) {
        const auto all = sources_of_all(count);
        for (const auto& [host, sources] : all) {
            cr_assert(!sources.empty());
            cr_assert(hops(all, host) <= 2, "of %zu", count);
        }
    }
}

Test(group, large_data_centres_have_an_instance_for_each_dozen) {
    // Each instance asks two of its sources in turn.
    const store_access large = store_access_of("no reader", hosts(59));
    cr_assert_eq(large.sources.size(), 4U);
    cr_assert(!large.stands_in, "it has relays that do");
    const store_access small = store_access_of("no reader", hosts(26));
    cr_assert_eq(small.sources.size(), 2U);
    cr_assert(small.stands_in);
}

Test(group, all_choose_the_same_readers) {
    host_list shuffled = hosts(40);
    std::reverse(shuffled.begin(), shuffled.end());
    for (const std::string& host : shuffled)
        cr_assert(
            store_access_of(host, hosts(40)).sources ==
            store_access_of(host, shuffled).sources);
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
