/// @file
/// The rows of the platform's store, in memory.
#ifndef MINTKNOT_SOAK_ROW_STORE_HPP
#define MINTKNOT_SOAK_ROW_STORE_HPP

#include <mintknot/base/time.hpp>

#include <nlohmann/json.hpp>

#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <utility>

namespace mintknot::soak {

/// Tables of rows with one counter for all versions. Removed rows are kept,
/// so that a watch can tell of them.
class row_store {
public:
    using time = base::steady_time;

    /// Carries out a transaction. @return the status of the answer, and its
    /// body.
    std::pair<int, nlohmann::json>
    transact(const nlohmann::json& request, time now);
    /// @return all rows of a table.
    nlohmann::json read(const std::string& table) const;
    /// @return the rows that changed behind a version.
    nlohmann::json changes(const std::string& table, std::uint64_t after) const;
    /// Changes up to now are told of no more. Rows stay as they are.
    void forget_history() { oldest_known_ = version_; }
    /// @return false if changes behind that version are no longer known or the
    /// version has not been assigned.
    bool remembers(std::uint64_t version) const {
        return version >= oldest_known_ && version <= version_;
    }
    /// Removes rows of a table that nobody has written for so long.
    void expire(
        const std::string& table, std::chrono::milliseconds silence, time now);

private:
    struct row {
        std::string value;
        std::uint64_t version = 0;
        bool gone = false;
        time written;
    };
    nlohmann::json to_json(
        const std::string& table, const std::string& key,
        const row& entry) const;

    std::map<std::pair<std::string, std::string>, row> rows_;
    std::uint64_t version_ = 0;
    std::uint64_t oldest_known_ = 0;
};

} // namespace mintknot::soak

#endif
