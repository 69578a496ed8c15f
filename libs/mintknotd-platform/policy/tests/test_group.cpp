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

/// @return the sources of each instance in a data centre of so many.
std::map<std::string, host_list> sources_of_all(std::size_t count) {
    std::map<std::string, host_list> result;
    for (const std::string& host : hosts(count))
        result[host] = flat_store_access(host, hosts(count)).sources;
    return result;
}

/// @return the instances that read the store.
host_list store_readers(std::size_t count) {
    host_list readers;
    for (const auto& [host, sources] : sources_of_all(count))
        if (sources == host_list{host})
            readers.push_back(host);
    return readers;
}

} // namespace

Test(group, two_instances_per_data_centre_read_store) {
    cr_assert_eq(store_readers(1).size(), 1U);
    for (const std::size_t count : {2, 9, 26, 36, 59, 100})
        cr_assert_eq(store_readers(count).size(), 2U, "of %zu", count);
}

namespace {

/// @return the number of hops over which a host receives changes of the store.
int hops(
    const std::map<std::string, host_list>& sources, const std::string& host) {
    int most = 0;
    for (const std::string& source : sources.at(host))
        if (source != host)
            most = std::max(most, 1 + hops(sources, source));
    return most;
}

} // namespace

Test(group, store_changes_take_two_hops_at_most) {
    for (const std::size_t count : {1, 3, 9, 26, 36, 59, 100}) {
        const auto all = sources_of_all(count);
        for (const auto& [host, sources] : all) {
            cr_assert(!sources.empty());
            cr_assert(hops(all, host) <= 2, "of %zu", count);
        }
    }
}

Test(group, large_data_centre_has_relay_per_dozen_instances) {
    // An instance uses two of its sources in turn.
    const store_access large = flat_store_access("no reader", hosts(59));
    cr_assert_eq(large.sources.size(), 4U);
    cr_assert(!large.reads_store_as_fallback, "relays read the store instead");
    const store_access small = flat_store_access("no reader", hosts(26));
    cr_assert_eq(small.sources.size(), 2U);
    cr_assert(small.reads_store_as_fallback);
}

Test(group, readers_do_not_depend_on_host_order) {
    host_list shuffled = hosts(40);
    std::reverse(shuffled.begin(), shuffled.end());
    for (const std::string& host : shuffled)
        cr_assert(
            flat_store_access(host, hosts(40)).sources ==
            flat_store_access(host, shuffled).sources);
}

Test(group, smallest_host_is_phase_balancer) {
    cr_assert(is_phase_balancer("10.0.0.1", {"10.0.0.2", "10.0.0.3"}));
    cr_assert(!is_phase_balancer("10.0.0.2", {"10.0.0.1", "10.0.0.3"}));
    cr_assert(is_phase_balancer("10.0.0.2", {}));
}

Test(group, new_instance_assumes_minimum_group) {
    cr_assert_eq(assumed_instances(1), 10U);
    cr_assert_eq(assumed_instances(30), 30U);
    cr_assert(!is_large_group(24));
    cr_assert(is_large_group(25));
}

Test(group, demand_is_reported_to_phase_balancer_of_data_centre) {
    cr_assert(demand_report_target("b", {"a", "c", "d"}, {"a", "c"}) == "a");
    cr_assert(demand_report_target("b", {"a", "c", "d"}, {"c"}).empty());
    cr_assert(demand_report_target("a", {"b", "c"}, {"b"}).empty());
    cr_assert(demand_report_target("a", {}, {}).empty());
}
