#include <mintknot/policy/group.hpp>

#include <mintknot/base/rendezvous.hpp>

#include <algorithm>
#include <string_view>

namespace mintknot::policy {

namespace {

/// Instances that are assumed until more are known: slightly above the size of
/// common groups.
constexpr std::size_t min_instances = 10;
/// Instances of each data centre that read the store: one may be cut off from
/// it.
constexpr std::size_t store_reader_count = 2;
/// The traffic of a relay grows with the instances that follow it; see
/// flat_store_access().
constexpr std::size_t followers_per_relay = 12;
constexpr std::string_view store_reader_key = "store-reader";
/// One may be about to stop and one may be cut off.
constexpr std::size_t crash_evaluator_count = 3;
constexpr std::string_view crash_evaluator_key = "crash-judge";

} // namespace

bool is_large_group(std::size_t instances) {
    return instances > max_small_group;
}

std::size_t assumed_instances(std::size_t live_at_once) {
    return std::max(min_instances, live_at_once);
}

store_access flat_store_access(
    const std::string& own_host, const std::vector<std::string>& hosts) {
    const std::size_t dozens = hosts.size() / followers_per_relay;
    const std::size_t relays = dozens > store_reader_count ? dozens : 0;
    const std::vector<std::string> chosen = base::rendezvous_first(
        store_reader_key, hosts, store_reader_count + relays);
    const auto own = std::find(chosen.begin(), chosen.end(), own_host);
    const auto first_relay =
        chosen.begin() + static_cast<std::ptrdiff_t>(
                             std::min(store_reader_count, chosen.size()));
    if (own < first_relay)
        return {{own_host}, true};
    if (own != chosen.end() || first_relay == chosen.end())
        return {{chosen.begin(), first_relay}, true};
    return {{first_relay, chosen.end()}, false};
}

store_access super_peer_store_access(
    const std::vector<std::string>& super_peers, group_role role) {
    std::vector<std::string> sources = super_peers;
    if (role == group_role::super_peer)
        sources = base::rendezvous_first(
            store_reader_key, super_peers, store_reader_count);
    return {std::move(sources), role == group_role::super_peer, true};
}

std::vector<std::string>
crash_evaluators(const std::vector<std::string>& hosts) {
    if (!is_large_group(hosts.size()))
        return hosts;
    return base::rendezvous_first(
        crash_evaluator_key, hosts, crash_evaluator_count);
}

bool is_phase_balancer(
    const std::string& own_host, const std::vector<std::string>& others) {
    return std::none_of(
        others.begin(), others.end(),
        [&](const std::string& host) { return host < own_host; });
}

std::string demand_report_target(
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
