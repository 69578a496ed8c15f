#include <mintknot/base/rendezvous.hpp>

#include <xxhash.h>

#include <algorithm>
#include <cstdint>

namespace mintknot::base {

namespace {

struct weighted_node {
    std::uint64_t weight = 0;
    const std::string* node = nullptr;
};

/// Equal hashes are settled by name, so that all agree.
bool goes_before(const weighted_node& left, const weighted_node& right) {
    return left.weight != right.weight ? left.weight > right.weight
                                       : *left.node < *right.node;
}

std::vector<weighted_node>
weigh(std::string_view job, const std::vector<std::string>& nodes) {
    const std::uint64_t seed = XXH3_64bits(job.data(), job.size());
    std::vector<weighted_node> weighted;
    weighted.reserve(nodes.size());
    for (const std::string& node : nodes)
        weighted.push_back(
            {XXH3_64bits_withSeed(node.data(), node.size(), seed), &node});
    return weighted;
}

} // namespace

std::string
rendezvous(std::string_view job, const std::vector<std::string>& nodes) {
    const std::vector<weighted_node> weighted = weigh(job, nodes);
    const auto best =
        std::min_element(weighted.begin(), weighted.end(), goes_before);
    return best == weighted.end() ? std::string{} : *best->node;
}

std::vector<std::string> rendezvous_first(
    std::string_view job, const std::vector<std::string>& nodes,
    std::size_t count) {
    std::vector<weighted_node> weighted = weigh(job, nodes);
    const auto last = weighted.begin() + static_cast<std::ptrdiff_t>(
                                             std::min(count, weighted.size()));
    std::partial_sort(weighted.begin(), last, weighted.end(), goes_before);
    std::vector<std::string> chosen;
    for (auto entry = weighted.begin(); entry != last; ++entry)
        chosen.push_back(*entry->node);
    return chosen;
}

} // namespace mintknot::base
