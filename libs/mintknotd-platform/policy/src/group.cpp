#include <mintknot/policy/group.hpp>

#include <mintknot/base/rendezvous.hpp>

#include <algorithm>
#include <string_view>

namespace mintknot::policy {

namespace {

/// Instances that are assumed until more have been heard. Not measured: a
/// little above the groups that were known.
constexpr std::size_t min_instances = 10;
constexpr std::size_t min_readers = 2;
/// What a reader sends grows with those that follow it; see store_readers().
constexpr std::size_t followers_per_reader = 12;
constexpr std::string_view store_reader_job = "store-reader";

} // namespace

bool is_large(std::size_t instances) {
    return instances > max_small_group;
}

std::size_t assumed_instances(std::size_t heard_at_once) {
    return std::max(min_instances, heard_at_once);
}

std::vector<std::string> store_readers(std::vector<std::string> hosts) {
    const std::size_t readers =
        std::max(min_readers, hosts.size() / followers_per_reader);
    return base::rendezvous_first(store_reader_job, std::move(hosts), readers);
}

bool looks_after_phases(
    const std::string& own_host, const std::vector<std::string>& others) {
    return std::none_of(
        others.begin(), others.end(),
        [&](const std::string& host) { return host < own_host; });
}

std::string reader_of_demand(
    const std::string& own_host, const std::vector<std::string>& others,
    const std::vector<std::string>& others_in_data_centre) {
    const auto first = std::min_element(others.begin(), others.end());
    if (first == others.end() || own_host < *first)
        return {};
    const bool near =
        std::find(
            others_in_data_centre.begin(), others_in_data_centre.end(),
            *first) != others_in_data_centre.end();
    return near ? *first : std::string();
}

} // namespace mintknot::policy
