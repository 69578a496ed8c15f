#include <mintknot/relay/local_server.hpp>

#include <mintknot/event/connection.hpp>

#include <criterion/criterion.h>

#include <algorithm>
#include <functional>
#include <string>
#include <vector>

using namespace mintknot;
using namespace mintknot::relay;

namespace {

constexpr base::milliseconds poll{2};
constexpr int quiet_polls = 100;
constexpr int requests = 200'000;
constexpr std::size_t answer_bytes = 1024;

/// A caller that sends all its requests at once, and reads no answer.
struct silent_reader {
    silent_reader()
        : server(
              owner,
              [this](const http1::request_head&, const local_reply& reply) {
                  ++answered;
                  if (answers)
                      reply(
                          {200, "text/plain", std::string(answer_bytes, 'a')});
              },
              nullptr)
        , polling(owner) {
        cr_assert(server.open({"127.0.0.1", 0}).ok());
        std::string all;
        for (int i = 0; i < requests; ++i)
            all += "GET /ready HTTP/1.1\r\nHost: h\r\n\r\n";
        event::connect(
            owner, {"127.0.0.1", server.port()}, base::milliseconds(5000),
            [this, all](event::connection_ptr opened, event::connect_result) {
                link = std::move(opened);
                link->set_handlers(
                    {[](std::string_view) {}, [](event::connection_end) {},
                     nullptr});
                link->pause_reading();
                link->write(all);
            });
    }

    /// Runs until the server has stopped reading, or has read all.
    void run() {
        std::size_t left = 0;
        int quiet = 0;
        std::function<void()> look = [&] {
            const std::size_t now = link == nullptr ? 0 : link->queued_bytes();
            quiet = now == left ? quiet + 1 : 0;
            left = now;
            if (quiet == quiet_polls)
                owner.stop();
            else
                polling.start(poll, [&] { look(); });
        };
        polling.start(poll, [&] { look(); });
        owner.run();
    }

    bool answers = true;
    int answered = 0;
    event::loop owner;
    local_server server;
    event::connection_ptr link;
    event::timer polling;
};

} // namespace

// Answers that nobody reads were queued without a bound.
Test(local_server, requests_whose_answers_are_not_read_are_bounded) {
    silent_reader caller;
    caller.run();
    cr_assert(caller.answered > 0);
    cr_assert(caller.answered < requests / 2);
    cr_assert(caller.link->queued_bytes() > 0);
}

// What comes while an answer is waited for was kept without a bound.
Test(local_server, requests_behind_one_without_an_answer_are_bounded) {
    silent_reader caller;
    caller.answers = false;
    caller.run();
    cr_assert(caller.answered == 1);
    cr_assert(caller.link->queued_bytes() > 0);
}

// Connections that send nothing shut out balancers and peers for 30 s.
Test(local_server, idle_connections_do_not_shut_out_others) {
    constexpr int idle_connections = 200;
    event::loop owner;
    local_server server(
        owner, synchronous_handler([](const http1::request_head&) {
            return local_answer{200, "text/plain", "ready"};
        }),
        nullptr);
    cr_assert(server.open({"127.0.0.1", 0}).ok());
    const base::address where{"127.0.0.1", server.port()};
    std::vector<event::connection_ptr> links;
    std::string seen;
    const auto ask = [&] {
        links.back()->set_handlers(
            {[&](std::string_view bytes) {
                 seen += bytes;
                 owner.stop();
             },
             [&](event::connection_end) { owner.stop(); }, nullptr});
        links.back()->write("GET /ready HTTP/1.1\r\nHost: h\r\n\r\n");
    };
    std::function<void()> connect_next = [&] {
        event::connect(
            owner, where, base::milliseconds(5000),
            [&](event::connection_ptr opened, event::connect_result) {
                links.push_back(std::move(opened));
                if (links.size() > idle_connections)
                    ask();
                else
                    connect_next();
            });
    };
    connect_next();
    owner.run();
    cr_assert(seen.starts_with("HTTP/1.1 200"));
}
