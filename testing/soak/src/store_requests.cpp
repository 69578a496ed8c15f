#include "store_requests.hpp"

#include <absl/strings/escaping.h>
#include <nlohmann/json.hpp>

namespace mintknot::soak {

upstream::call_request put_request(const stored_row& row) {
    const nlohmann::json put = {
        {"put",
         {{{"table", row.table},
           {"part", ""},
           {"key", row.key},
           {"value", absl::Base64Escape(row.text)}}}}};
    upstream::call_request request;
    request.head.method = "POST";
    request.head.target = "/mintknot/rows-tx";
    request.head.fields = {{"Host", "store"}};
    request.body = std::make_shared<const std::string>(put.dump());
    return request;
}

} // namespace mintknot::soak
