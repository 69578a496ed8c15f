#include "pausing_fixture.hpp"
#include "scripted_guard.hpp"

using namespace mintknot;
using namespace mintknot::relay;
using namespace mintknot::relay::tests;

namespace {

constexpr auto plain = traffic::engine_phase::none;

/// Its plain servers are waited for 600 ms, less than they pause.
struct impatient_fixture : relay_fixture {
    impatient_fixture()
        : later(owner) {
        for (traffic::route& route : config.routes)
            route.target_latency = base::milliseconds(200);
        configure();
    }
    event::timer later;
};

script answering_late(event::timer& later) {
    return [&later](
               const received_request& to, const event::connection_ptr& link) {
        later.start(pause_of_engine, [to, link] {
            link->write(answer_to(to, "late"));
        });
    };
}

} // namespace

// Guards against a 502 for a call whose server would have answered in time.
Test(silent_servers, no_answer_is_lost_for_want_of_another_server) {
    impatient_fixture f;
    f.add_server("s1", "app", plain, answering_late(f.later));
    const caller_view seen = f.ask(request("/safe/x"));
    cr_assert(seen.status == 200, "%s", seen.text.c_str());
    cr_assert(seen.body == "late");
}

// Guards against the same where a block comes while the server is silent.
Test(silent_servers, no_answer_is_lost_if_the_request_is_blocked_meanwhile) {
    impatient_fixture f;
    scripted_guard guard;
    f.context.crashes = &guard;
    event::timer change(f.owner);
    for (const char* id : {"s1", "s2"})
        f.add_server(id, "app", plain, answering_late(f.later));
    change.start(base::milliseconds(100), [&] { guard.blocks_all = true; });
    const caller_view seen = f.ask(request("/safe/x"));
    cr_assert(seen.status == 200, "%s", seen.text.c_str());
    cr_assert(seen.body == "late");
}
