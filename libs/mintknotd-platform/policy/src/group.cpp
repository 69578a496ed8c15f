#include <mintknot/policy/group.hpp>

#include <mintknot/base/rendezvous.hpp>

#include <algorithm>
#include <string_view>

namespace mintknot::policy {

namespace {

/// Instances that are assumed until more have been heard. A little above the
/// groups that were known.
constexpr std::size_t min_instances = 10;
/// Of each data centre, at the store: one may be cut off from it.
constexpr std::size_t store_readers = 2;
/// What an instance sends grows with those that follow it; see
/// store_access_of().
constexpr std::size_t followers_per_relay = 12;
constexpr std::string_view store_reader_job = "store-reader";
/// One may be about to stop and one be cut off.
constexpr std::size_t crash_judges = 3;
constexpr std::string_view crash_judge_job = "crash-judge";

} // namespace

bool is_large(std::size_t instances) {
    return instances > max_small_group;
}

std::size_t assumed_instances(std::size_t heard_at_once) {
    return std::max(min_instances, heard_at_once);
}

store_access store_access_of(
    const std::string& own_host, const std::vector<std::string>& hosts) {
    const std::size_t dozens = hosts.size() / followers_per_relay;
    const std::size_t relays = dozens > store_readers ? dozens : 0;
    const std::vector<std::string> chosen =
        base::rendezvous_first(store_reader_job, hosts, store_readers + relays);
    const auto own = std::find(chosen.begin(), chosen.end(), own_host);
    const auto first_relay =
        chosen.begin() +
        static_cast<std::ptrdiff_t>(std::min(store_readers, chosen.size()));
    if (own < first_relay)
        return {{own_host}, true};
    if (own != chosen.end() || first_relay == chosen.end())
        return {{chosen.begin(), first_relay}, true};
    return {{first_relay, chosen.end()}, false};
}

store_access store_access_among(
    const std::vector<std::string>& super_peers, group_role role) {
    std::vector<std::string> sources = super_peers;
    if (role == group_role::super_peer)
        sources = base::rendezvous_first(
            store_reader_job, super_peers, store_readers);
    return {std::move(sources), role == group_role::super_peer, true};
}

std::vector<std::string>
judges_of_crashes(const std::vector<std::string>& hosts) {
    if (!is_large(hosts.size()))
        return hosts;
    return base::rendezvous_first(crash_judge_job, hosts, crash_judges);
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
