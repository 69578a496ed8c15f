/// @file
/// The interface to the operators' platform: its table service.
#ifndef MINTKNOT_TABLE_SERVICE_TABLE_CLIENT_HPP
#define MINTKNOT_TABLE_SERVICE_TABLE_CLIENT_HPP

#include <mintknot/table_service/transaction.hpp>

#include <absl/status/statusor.h>

#include <string>
#include <vector>

namespace mintknot::table_service {

/// What mintknot needs of the platform. Implementations are thin adapters, so
/// that a platform with another dialect costs one class. Calls block; safe
/// from every thread. Unavailable means that the platform is out of reach.
class table_client {
public:
    table_client() = default;
    table_client(const table_client&) = delete;
    table_client& operator=(const table_client&) = delete;
    virtual ~table_client() = default;

    virtual commit_result commit(const transaction& writes) = 0;

    /// @return the row; its revision is 0 if there is none.
    virtual absl::StatusOr<table_row> read(const std::string& key) = 0;

    /// @return rows with the prefix and with keys after `after`, in the order
    /// of keys, at most `limit`.
    virtual absl::StatusOr<std::vector<table_row>> scan(
        const std::string& prefix, const std::string& after,
        std::size_t limit) = 0;
};

/// Reads all rows with a prefix, page by page.
absl::StatusOr<std::vector<table_row>>
scan_all(table_client& platform, const std::string& prefix);

} // namespace mintknot::table_service

#endif
