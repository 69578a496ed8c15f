/// @file
/// The table service of the stand-in platform.
#ifndef MINTKNOT_STANDINS_PLATFORM_TABLES_HPP
#define MINTKNOT_STANDINS_PLATFORM_TABLES_HPP

#include <nlohmann/json.hpp>

#include <cstdint>
#include <map>
#include <mutex>
#include <string>
#include <vector>

namespace mintknot::standins {

/// Rows with revisions; commits check all conditions, then write all.
/// Thread: all functions may be called from any thread.
class platform_tables {
public:
    /// @param writes the array of docs/STAND_INS.md.
    /// @return the rows whose conditions did not hold; empty: it is written.
    std::vector<nlohmann::json> commit(const nlohmann::json& writes);

    /// @return the row; revision 0 if there is none.
    nlohmann::json read(const std::string& key) const;
    nlohmann::json scan(
        const std::string& prefix, const std::string& after,
        std::size_t limit) const;

private:
    struct row {
        std::uint64_t revision = 0;
        nlohmann::json value;
    };

    nlohmann::json row_json(const std::string& key) const;

    mutable std::mutex mutex_;
    std::map<std::string, row> rows_;
    std::uint64_t last_revision_ = 0;
};

} // namespace mintknot::standins

#endif
