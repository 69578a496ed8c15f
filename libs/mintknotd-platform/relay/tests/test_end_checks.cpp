/// @file
/// Which evidence tells whether an answer without length is whole.

#include "relay_fixture.hpp"

#include <criterion/criterion.h>

using namespace mintknot;
using namespace mintknot::relay;
using namespace mintknot::relay::tests;

namespace {

constexpr auto plain = traffic::engine_phase::none;
/// Of a server in trouble, longer than one check is waited for.
constexpr base::milliseconds long_queue{900};

/// Answers the first request without a length, later ones with one. Does not
/// answer health checks.
script answering_no_check(int& requests) {
    return [&requests](
               const received_request& to, const event::connection_ptr& link) {
        if (to.head.method == "GET")
            return;
        if (++requests > 1) {
            link->write(answer_to(to, "later"));
            return;
        }
        link->write(head_without_length(to, "text") + "abc");
        link->close();
    };
}

} // namespace

// A busy server answered no check in time, and its whole answer was dropped.
Test(end_checks, an_answer_to_a_later_request_shows_that_the_server_lives) {
    relay_fixture f;
    int requests = 0;
    scripted_server& server =
        f.add_server("s", "app", plain, answering_no_check(requests));
    const event::connection_ptr other = f.connect_idle();
    bool asked = false;
    const caller_view seen = f.ask(
        request("/unsafe/x", "Id: r1\r\nDeadline: 1500\r\n"),
        [&, pending = 0]() mutable {
            const bool checking = server.requests.size() == 2;
            if (checking && !std::exchange(asked, true))
                other->write(request("/unsafe/x", "Id: r2\r\n"));
            return asked && f.context.state.open_requests == 0 && ++pending > 5;
        });
    cr_assert(seen.status == 200);
    cr_assert(seen.body == "abc");
}

// Each check was dropped after 0.3 s, and its place in the queue with it.
Test(end_checks, a_check_waits_in_the_queue_of_a_busy_server) {
    relay_fixture f;
    event::timer queue(f.owner);
    f.add_server(
        "s", "app", plain,
        [&queue](
            const received_request& to, const event::connection_ptr& link) {
            if (to.head.method != "GET") {
                link->write(head_without_length(to, "text") + "abc");
                link->close();
            } else if (!queue.active()) {
                queue.start(
                    long_queue, [to, link] { link->write(answer_to(to, "")); });
            }
        });
    const caller_view seen = f.ask(request("/unsafe/x"));
    cr_assert(seen.status == 200);
    cr_assert(seen.body == "abc");
}
