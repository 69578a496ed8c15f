#include "store_requests.hpp"

#include <mintknot/event/loop.hpp>

#include <absl/strings/escaping.h>
#include <nlohmann/json.hpp>

namespace mintknot::soak {

namespace {

constexpr base::milliseconds call_limit{2000};
constexpr int status_ok = 200;

} // namespace

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

bool put_row(const base::address& store, const stored_row& row) {
    event::loop owner;
    upstream::connection_pool pool(owner);
    event::timer limit(owner);
    bool done = false;
    int status = 0;
    const auto call = upstream::call::start(
        pool, {"store", store}, put_request(row), {},
        {nullptr, [&](http1::response_head& head) { status = head.status; },
         [](std::string_view) {},
         [&] {
             done = status == status_ok;
             owner.stop();
         },
         [&](upstream::call_failure) { owner.stop(); }});
    limit.start(call_limit, [&] { owner.stop(); });
    owner.run();
    return done;
}

} // namespace mintknot::soak
