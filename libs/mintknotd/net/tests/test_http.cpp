#include <mintknot/net/http_client.hpp>
#include <mintknot/net/http_server.hpp>

#include <criterion/criterion.h>
#include <httplib.h>

#include <atomic>
#include <latch>
#include <thread>

using namespace mintknot;

namespace {

base::address start(net::http_server& server) {
    const auto port = server.start({"127.0.0.1", 0});
    cr_assert(port.ok());
    return {"127.0.0.1", *port};
}

} // namespace

Test(http, a_refused_connection_has_not_run) {
    base::address closed;
    {
        net::http_server server({});
        closed = start(server);
    }
    net::http_client client;
    const auto answer = client.call(closed, {.path = "/"});
    cr_assert(!answer.answered());
    cr_assert(answer.run == base::verdict::not_run);
}

Test(http, a_silent_server_may_have_run_the_call) {
    net::http_server server({});
    std::latch end(1);
    server.routes().Get("/", [&](const auto&, auto&) { end.wait(); });
    const auto where = start(server);
    net::http_client client;
    const auto answer = client.call(
        where, {.path = "/", .read_timeout = base::milliseconds{50}});
    end.count_down();
    cr_assert(!answer.answered());
    cr_assert(answer.run == base::verdict::may_have_run);
}

Test(http, a_running_call_can_be_cancelled) {
    net::http_server server({});
    std::latch reached(1);
    std::latch end(1);
    server.routes().Get("/", [&](const auto&, auto&) {
        reached.count_down();
        end.wait();
    });
    const auto where = start(server);
    net::http_client client;
    net::call_canceller canceller;
    std::thread other([&] {
        reached.wait();
        canceller.cancel();
    });
    const auto answer = client.call(where, {.path = "/"}, &canceller);
    other.join();
    end.count_down();
    cr_assert(!answer.answered());
    cr_assert(answer.run == base::verdict::may_have_run);
}

Test(http, bodies_are_streamed_and_errors_are_kept) {
    net::http_server server({});
    server.routes().Get("/good", [](const auto&, auto& response) {
        response.set_chunked_content_provider(
            "text/plain", [](size_t, httplib::DataSink& sink) {
                sink.write("one ", 4);
                sink.write("two", 3);
                sink.done();
                return true;
            });
    });
    server.routes().Get("/bad", [](const auto&, auto& response) {
        response.status = 503;
        response.set_content("full", "text/plain");
    });
    const auto where = start(server);
    net::http_client client;
    std::string received;
    const auto collect = [&](std::string_view piece) {
        received += piece;
        return true;
    };
    cr_assert(client.stream(where, {.path = "/good"}, collect).ok());
    cr_assert(received == "one two");
    const auto bad = client.stream(where, {.path = "/bad"}, collect);
    cr_assert_eq(bad.status, 503);
    cr_assert(bad.body == "full");
}

Test(http, a_taken_port_is_refused) {
    net::http_server first({});
    const auto where = start(first);
    net::http_server second({});
    cr_assert(!second.start(where).ok());
}

Test(http, a_burst_of_callers_all_connect) {
    constexpr int callers = 200;
    net::http_server server({.most_connections = callers});
    std::latch all_here(callers);
    server.routes().Get(
        "/", [&](const auto&, auto&) { all_here.arrive_and_wait(); });
    const auto where = start(server);
    std::atomic<int> answered{0};
    std::vector<std::thread> threads;
    for (int i = 0; i < callers; ++i)
        threads.emplace_back([&] {
            net::http_client client;
            const auto answer = client.call(
                where,
                {.path = "/", .connect_timeout = base::milliseconds{900}});
            answered += answer.answered() ? 1 : 0;
        });
    for (auto& thread : threads)
        thread.join();
    cr_assert_eq(answered.load(), callers);
}
