/// @file
/// Organisations, their keys and what each may use.
#ifndef MINTKNOT_TRAFFIC_ORGANISATION_TABLE_HPP
#define MINTKNOT_TRAFFIC_ORGANISATION_TABLE_HPP

#include <absl/container/flat_hash_map.h>

#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace mintknot::traffic {

/// What a limit counts.
enum class usage_unit { requests, tokens };

/// What an organisation may use over all instances. A rate of zero: no limit.
struct usage_limit {
    double rate = 0.0;  ///< A second.
    double burst = 0.0; ///< On top, once.
    usage_unit unit = usage_unit::requests;
    /// What a request counts that tells no number of tokens.
    double plain_tokens = 1.0;

    bool limited() const noexcept { return rate > 0.0; }
};

/// An organisation: whoever holds one of its keys.
struct organisation {
    std::string name;
    std::optional<int> priority; ///< Goes before the priority of a route.
    usage_limit limit;
};

/// An organisation as a configuration tells of it.
struct organisation_row {
    organisation value;
    std::vector<std::string> keys;
};

/// All organisations of one configuration, immutable. With 43,000 of them and
/// two keys each it takes 8 MB: keys lie in one text, and the index holds
/// positions only.
class organisation_table {
public:
    /// A key that several organisations hold opens none of them.
    explicit organisation_table(std::vector<organisation_row> rows);
    organisation_table(const organisation_table&) = delete;
    organisation_table& operator=(const organisation_table&) = delete;

    /// @return the holder of a key, or null. The pointer lives as long as the
    /// table.
    const organisation* find_by_key(std::string_view key) const;
    /// @return the organisation of that name, or null, as above.
    const organisation* find_by_name(std::string_view name) const;

    std::size_t size() const noexcept { return organisations_.size(); }
    /// @return the priorities that organisations have, each once.
    const std::set<int>& priorities() const noexcept { return priorities_; }

private:
    std::vector<organisation> organisations_;
    std::set<int> priorities_;
    std::string keys_; ///< All keys, one behind the other.
    absl::flat_hash_map<std::string_view, std::uint32_t> index_by_key_;
    absl::flat_hash_map<std::string_view, std::uint32_t> index_by_name_;
};

} // namespace mintknot::traffic

#endif
