#include "relay_fixture.hpp"

#include <criterion/criterion.h>

using namespace mintknot;
using namespace mintknot::relay;
using namespace mintknot::relay::tests;

namespace {

constexpr auto plain = traffic::engine_phase::none;

std::string rejection_without_id(int status) {
    return "HTTP/1.1 " + std::to_string(status) +
           " X\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n";
}

/// Writes a surplus answer before the one that is due.
script answering_behind(const std::string& surplus) {
    return [surplus](
               const received_request& to, const event::connection_ptr& link) {
        link->write(surplus + answer_to(to, "ran"));
    };
}

script rejecting_without_id(int status) {
    return
        [status](const received_request&, const event::connection_ptr& link) {
            link->write(rejection_without_id(status));
        };
}

/// A prober of one server, whose check is due at once.
struct checked_server : relay_fixture {
    explicit checked_server(script behaviour)
        : server(add_server("s", "app", plain, std::move(behaviour)))
        , checks(
              owner, pool, protocol, log,
              [this](const std::string& id) -> std::optional<health_check> {
                  if (passed)
                      return std::nullopt;
                  return health_check{
                      {id, {"127.0.0.1", server.port()}},
                      "/health",
                      owner.now()};
              },
              [this](const std::string&, bool result) { passed = result; }) {}

    bool check() {
        checks.watch("s");
        run_until([this] { return passed.has_value(); });
        return *passed;
    }

    scripted_server& server;
    std::optional<bool> passed;
    health_prober checks;
};

std::string healthy_answer(const std::string& fields) {
    return "HTTP/1.1 200 X\r\nServer-Id: s\r\n" + fields +
           "Content-Length: 0\r\n\r\n";
}

} // namespace

// A request that was running was sent to a second server, or refused as not
// run.
Test(surplus_answers, a_rejection_without_an_id_is_not_that_of_a_request) {
    relay_fixture f;
    scripted_server& first = f.add_server(
        "s1", "app", plain, answering_behind(rejection_without_id(503)));
    scripted_server& second = f.add_server(
        "s2", "app", plain, answering_behind(rejection_without_id(503)));
    const caller_view seen = f.ask(request("/unsafe/x"));
    cr_assert(seen.status == 200);
    cr_assert(seen.body == "ran");
    cr_assert(first.requests.size() + second.requests.size() == 1);
}

Test(surplus_answers, a_prompt_is_read_once_beside_a_rejection_without_an_id) {
    relay_fixture f;
    scripted_server& engine = f.add_server(
        "p", "llm", traffic::engine_phase::prefill,
        [](const received_request& to, const event::connection_ptr& link) {
            link->write(rejection_without_id(503) + answer_to(to, "handle k"));
        });
    f.add_server("d", "llm", traffic::engine_phase::decode, good_decode());
    cr_assert(f.ask(prompt("/stream/x")).status == 200);
    cr_assert(engine.requests.size() == 1);
}

// A server that cannot read a request does not know its ID.
Test(surplus_answers, a_request_that_could_not_be_read_is_sent_again) {
    relay_fixture f;
    scripted_server& bad =
        f.add_server("s1", "app", plain, rejecting_without_id(400));
    scripted_server& good = f.add_server(
        "s2", "app", plain,
        [](const received_request& to, const event::connection_ptr& link) {
            link->write(answer_to(to, "ran"));
        });
    for (int i = 0; i < 4; ++i)
        cr_assert(f.ask(request("/unsafe/x")).status == 200);
    cr_assert(good.requests.size() == 4);
    cr_assert(bad.requests.size() <= 4);
}

// The late answer to a request showed a server as healthy, or as failed.
Test(surplus_answers, an_answer_with_an_id_is_not_that_of_a_health_check) {
    checked_server f([](const received_request&,
                        const event::connection_ptr& link) {
        link->write(healthy_answer("Id: r1\r\n") + rejection_without_id(503));
    });
    cr_assert(!f.check());
}

Test(surplus_answers, a_health_check_passes_behind_an_answer_with_an_id) {
    checked_server f([](const received_request&,
                        const event::connection_ptr& link) {
        link->write(
            "HTTP/1.1 503 X\r\nId: r1\r\nNot-Run: 1\r\nContent-Length: 0\r\n"
            "\r\n" +
            healthy_answer(""));
    });
    cr_assert(f.check());
}
