#include <mintknot/base/rendezvous.hpp>

#include <xxhash.h>

namespace mintknot::base {

std::string
rendezvous(std::string_view job, const std::vector<std::string>& nodes) {
    const std::uint64_t seed = XXH3_64bits(job.data(), job.size());
    const std::string* best = nullptr;
    std::uint64_t highest = 0;
    for (const std::string& node : nodes) {
        const std::uint64_t weight =
            XXH3_64bits_withSeed(node.data(), node.size(), seed);
        // Equal hashes are settled by name, so that all agree.
        const bool better = best == nullptr || weight > highest ||
                            (weight == highest && node < *best);
        if (!better)
            continue;
        best = &node;
        highest = weight;
    }
    return best == nullptr ? std::string{} : *best;
}

std::vector<std::string> rendezvous_first(
    std::string_view job, std::vector<std::string> nodes, std::size_t count) {
    std::vector<std::string> chosen;
    while (chosen.size() < count && !nodes.empty()) {
        chosen.push_back(rendezvous(job, nodes));
        std::erase(nodes, chosen.back());
    }
    return chosen;
}

} // namespace mintknot::base
