/// @file
/// Rows of servers as one reader of the store sees them.
#ifndef MINTKNOT_SOAK_ROW_VIEWS_HPP
#define MINTKNOT_SOAK_ROW_VIEWS_HPP

#include <nlohmann/json.hpp>

#include <string>

namespace mintknot::soak {

/// Replaces the addresses of servers in rows, differently for each reader, so
/// that each reaches the servers over links of its own.
class row_views {
public:
    /// @param file a JSON object: for each reader, by the Host field of its
    /// requests, the address to show for each address. It is read when the
    /// first reader asks; without it, rows are shown as they are.
    explicit row_views(std::string file);

    /// @return the answer to a read or a watch, as this reader sees it.
    nlohmann::json apply(const std::string& reader, nlohmann::json answer);

private:
    void load();

    std::string file_;
    nlohmann::json views_;
};

} // namespace mintknot::soak

#endif
