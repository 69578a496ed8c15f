/// @file
/// The platform by HTTP and JSON, as docs/STAND_INS.md writes it down.
#ifndef MINTKNOT_TABLE_SERVICE_HTTP_TABLE_CLIENT_HPP
#define MINTKNOT_TABLE_SERVICE_HTTP_TABLE_CLIENT_HPP

#include <mintknot/base/address.hpp>
#include <mintknot/base/time.hpp>
#include <mintknot/net/http_client.hpp>
#include <mintknot/table_service/table_client.hpp>

namespace mintknot::table_service {

/// Adapter to a platform at one address.
class http_table_client final : public table_client {
public:
    /// @param timeout bound of each call.
    http_table_client(base::address where, base::milliseconds timeout);

    commit_result commit(const transaction& writes) override;
    absl::StatusOr<table_row> read(const std::string& key) override;
    absl::StatusOr<std::vector<table_row>> scan(
        const std::string& prefix, const std::string& after,
        std::size_t limit) override;

private:
    net::http_response
    call(std::string method, std::string path, std::string body);
    absl::StatusOr<nlohmann::json> get_json(std::string path);

    base::address where_;
    base::milliseconds timeout_;
    net::http_client client_;
};

} // namespace mintknot::table_service

#endif
