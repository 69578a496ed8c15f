#include "end_check.hpp"

#include "relay_fixture.hpp"

#include <criterion/criterion.h>

#include <optional>

using namespace mintknot;
using namespace mintknot::crashes;
using namespace mintknot::relay::tests;

namespace {

/// @return what a check of the server finds.
end_verdict check(relay_fixture& f, const std::string& id) {
    const traffic::server* server = traffic::find(f.context.state.servers, id);
    end_check checking(f.owner, f.pool, {id, server->where});
    std::optional<end_verdict> found;
    checking.start(
        f.protocol.health_request("/health", id),
        [&](end_verdict verdict) { found = verdict; });
    f.run_until([&] { return found.has_value(); });
    return *found;
}

constexpr auto plain = traffic::engine_phase::none;

} // namespace

Test(end_check, any_answer_shows_that_a_server_lives) {
    relay_fixture f;
    f.add_server(
        "s", "app", plain,
        [](const received_request& to, const event::connection_ptr& link) {
            link->write(answer_to(to, "busy", 503));
        });
    cr_assert(check(f, "s") == end_verdict::alive);
}

Test(end_check, a_server_that_nobody_listens_for_has_ended) {
    relay_fixture f;
    f.add_dead_server("s", "app");
    cr_assert(check(f, "s") == end_verdict::ended);
}

Test(end_check, a_single_connection_that_is_not_taken_shows_nothing) {
    relay_fixture f;
    int calls = 0;
    f.add_server(
        "s", "app", plain,
        [&](const received_request& to, const event::connection_ptr& link) {
            if (++calls == 1)
                link->reset();
            else
                link->write(answer_to(to, "ok"));
        });
    cr_assert(check(f, "s") == end_verdict::alive);
    cr_assert(calls == 2);
}

Test(end_check, silence_shows_nothing) {
    relay_fixture f;
    f.add_server(
        "s", "app", plain,
        [](const received_request&, const event::connection_ptr&) {});
    cr_assert(check(f, "s") == end_verdict::unknown);
}
