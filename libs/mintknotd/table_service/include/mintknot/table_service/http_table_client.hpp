/// @file
/// The platform by HTTP and JSON, as docs/STAND_INS.md writes it down.
#ifndef MINTKNOT_PLATFORM_HTTP_PLATFORM_HPP
#define MINTKNOT_PLATFORM_HTTP_PLATFORM_HPP

#include <mintknot/base/address.hpp>
#include <mintknot/base/time.hpp>
#include <mintknot/net/http_client.hpp>
#include <mintknot/table_service/table_client.hpp>

namespace mintknot::platform {

/// Adapter to a platform at one address.
class http_platform final : public platform_client {
public:
    /// @param timeout bound of each call.
    http_platform(base::address where, base::milliseconds timeout);

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

} // namespace mintknot::platform

#endif
