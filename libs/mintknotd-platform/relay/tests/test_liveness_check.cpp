#include "relay_fixture.hpp"

#include <mintknot/relay/liveness_check.hpp>

#include <criterion/criterion.h>

#include <optional>

using namespace mintknot;
using namespace mintknot::relay;
using namespace mintknot::relay::tests;

namespace {

/// @return the result of a check of the server.
liveness_verdict check(relay_fixture& f, const std::string& id) {
    const traffic::server* server = traffic::find(f.context.state.servers, id);
    liveness_check checking(f.owner, f.pool, {id, server->where});
    std::optional<liveness_verdict> found;
    checking.start(
        f.protocol.health_request("/health", id), first_connection::fresh,
        [&](liveness_verdict verdict) { found = verdict; });
    f.run_until([&] { return found.has_value(); });
    return *found;
}

constexpr auto plain = traffic::engine_phase::none;

} // namespace

Test(liveness_check, any_answer_means_alive) {
    relay_fixture f;
    f.add_server(
        "s", "app", plain,
        [](const received_request& to, const event::connection_ptr& link) {
            link->write(answer_to(to, "busy", 503));
        });
    cr_assert(check(f, "s") == liveness_verdict::alive);
}

Test(liveness_check, refused_connections_mean_ended) {
    relay_fixture f;
    f.add_dead_server("s", "app");
    cr_assert(check(f, "s") == liveness_verdict::ended);
}

Test(liveness_check, single_failed_connection_is_retried) {
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
    cr_assert(check(f, "s") == liveness_verdict::alive);
    cr_assert(calls == 2);
}

Test(liveness_check, missing_answer_means_unknown) {
    relay_fixture f;
    f.add_server(
        "s", "app", plain,
        [](const received_request&, const event::connection_ptr&) {});
    cr_assert(check(f, "s") == liveness_verdict::unknown);
}

// Another server at its address passed for a server that had ended.
Test(liveness_check, an_answer_of_another_server_means_ended) {
    relay_fixture f;
    f.add_server(
        "s", "app", plain,
        [](const received_request& to, const event::connection_ptr& link) {
            link->write(answer_to(to, "", 421));
        });
    cr_assert(check(f, "s") == liveness_verdict::ended);
}
