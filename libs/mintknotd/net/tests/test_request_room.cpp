#include "request_room.hpp"

#include <mintknot/base/request_memory.hpp>
#include <mintknot/net/http_client.hpp>
#include <mintknot/net/http_server.hpp>

#include <criterion/criterion.h>
#include <httplib.h>

#include <string>

using namespace mintknot;
using namespace mintknot::net;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr std::size_t mebibyte = 1024 * 1024;
constexpr base::steady_time start{seconds(100)};

} // namespace

// What requests held together had no bound.
Test(request_room, large_requests_leave_a_part_to_small_ones) {
    request_room room(16 * mebibyte);
    cr_assert(room.take(0, 12 * mebibyte, start));
    cr_assert(!room.is_short(start));
    cr_assert(!room.take(mebibyte, 1, start));
    cr_assert(room.is_short(start + seconds(1)));
    cr_assert(room.take(0, base::max_small_request_bytes, start));
    room.give_back(6 * mebibyte);
    cr_assert(room.take(mebibyte, mebibyte, start));
    cr_assert(!room.is_short(start + seconds(10)));
}

Test(request_room, a_refused_claim_holds_nothing) {
    request_room room(mebibyte);
    cr_assert(!room.take(0, 2 * mebibyte, start));
    cr_assert(room.take(0, base::max_small_request_bytes, start));
}

Test(request_room, it_is_short_while_a_connection_waits) {
    request_room room(mebibyte);
    room.connection_waits(start);
    cr_assert(!room.is_short(start + milliseconds(10)));
    cr_assert(room.is_short(start + seconds(1)));
    room.connection_is_served();
    cr_assert(!room.is_short(start + seconds(1)));
}

// Requests that came to a stop kept their connections for ten seconds and more.
Test(request_room, requests_that_stop_or_take_long_give_way) {
    cr_assert(!gives_way({seconds(1), seconds(5)}));
    cr_assert(gives_way({seconds(2), seconds(5)}));
    cr_assert(gives_way({seconds(0), seconds(10)}));
}

Test(request_room, a_request_without_room_is_told_that_it_has_not_run) {
    http_server server({.most_held_bytes = mebibyte});
    int runs = 0;
    server.routes().Post("/", [&](const auto&, auto& response) {
        ++runs;
        response.set_content("ok", "text/plain");
    });
    const auto port = server.start({"127.0.0.1", 0});
    cr_assert(port.ok());
    const base::address where{"127.0.0.1", *port};
    http_client client;
    const auto refused = client.call(
        where, {.method = "POST",
                .path = "/",
                .body = std::string(2 * mebibyte, 'x')});
    cr_assert(refused.status == 503);
    cr_assert(refused.body.find("\"not_run\"") != std::string::npos);
    cr_assert(runs == 0);
    const auto served =
        client.call(where, {.method = "POST", .path = "/", .body = "hello"});
    cr_assert(served.status == 200);
    cr_assert(runs == 1);
}
