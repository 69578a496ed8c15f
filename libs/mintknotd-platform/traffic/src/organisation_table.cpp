#include <mintknot/traffic/organisation_table.hpp>

#include <limits>
#include <utility>

namespace mintknot::traffic {

namespace {

/// Index of a key that several organisations hold.
constexpr std::uint32_t ambiguous = std::numeric_limits<std::uint32_t>::max();

std::size_t
total_key_bytes(const std::vector<organisation_row>& rows, std::size_t& keys) {
    std::size_t bytes = 0;
    for (const organisation_row& row : rows) {
        keys += row.keys.size();
        for (const std::string& key : row.keys)
            bytes += key.size();
    }
    return bytes;
}

} // namespace

organisation_table::organisation_table(std::vector<organisation_row> rows) {
    std::size_t keys = 0;
    // The views into the text stay valid as it never grows beyond this.
    keys_.reserve(total_key_bytes(rows, keys));
    organisations_.reserve(rows.size());
    index_by_key_.reserve(keys);
    index_by_name_.reserve(rows.size());
    for (organisation_row& row : rows) {
        const auto index = static_cast<std::uint32_t>(organisations_.size());
        organisations_.push_back(std::move(row.value));
        if (organisations_.back().priority)
            priorities_.insert(*organisations_.back().priority);
        index_by_name_.try_emplace(organisations_.back().name, index);
        for (const std::string& key : row.keys) {
            if (key.empty())
                continue;
            const std::size_t begin = keys_.size();
            keys_ += key;
            const auto [entry, added] = index_by_key_.try_emplace(
                std::string_view(keys_).substr(begin), index);
            if (!added && entry->second != index)
                entry->second = ambiguous;
        }
    }
}

const organisation*
organisation_table::find_by_key(std::string_view key) const {
    const auto found = index_by_key_.find(key);
    if (found == index_by_key_.end() || found->second == ambiguous)
        return nullptr;
    return &organisations_[found->second];
}

const organisation*
organisation_table::find_by_name(std::string_view name) const {
    const auto found = index_by_name_.find(name);
    return found == index_by_name_.end() ? nullptr
                                         : &organisations_[found->second];
}

} // namespace mintknot::traffic
