/// @file
/// Rows and conditional transactions of the platform's table service.
#ifndef MINTKNOT_TABLE_SERVICE_TRANSACTION_HPP
#define MINTKNOT_TABLE_SERVICE_TRANSACTION_HPP

#include <nlohmann/json.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace mintknot::table_service {

/// One row. The revision grows with each write; 0 stands for "absent".
struct table_row {
    std::string key;
    std::uint64_t revision = 0;
    nlohmann::json value;
};

/// A condition and what is to be written if all conditions hold.
struct table_write {
    enum class action { put, erase, check_only };

    action what = action::put;
    std::string key;
    nlohmann::json value; ///< For put.
    /// The revision that the row must have; nothing: any.
    std::optional<std::uint64_t> expected_revision;
};

/// All writes take effect together, or none.
using transaction = std::vector<table_write>;

/// How a commit ended.
struct commit_result {
    enum class state {
        applied,
        conflict,    ///< A condition did not hold; nothing was written.
        not_applied, ///< The service was out of reach, busy or down.
        unknown,     ///< The answer was lost: it may have been applied.
    };

    state end = state::not_applied;
    std::vector<table_row> conflicting; ///< The rows as they stand.
    std::string error;
};

/// @return a write that inserts a row only if there is none of that key.
table_write insert_if_absent(std::string key, nlohmann::json value);

/// @return a write that replaces a row of exactly that revision.
table_write
replace(std::string key, nlohmann::json value, std::uint64_t expected);

/// @return a write that removes a row of exactly that revision.
table_write erase(std::string key, std::uint64_t expected);

} // namespace mintknot::table_service

#endif
