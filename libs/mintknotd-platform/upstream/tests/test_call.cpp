#include <mintknot/event/listener.hpp>
#include <mintknot/upstream/call.hpp>

#include <criterion/criterion.h>

#include <arpa/inet.h>
#include <sys/socket.h>
#include <unistd.h>

#include <memory>
#include <string>
#include <vector>

using namespace mintknot;
using namespace mintknot::upstream;

namespace {

constexpr base::milliseconds test_limit{10000};

/// A server that answers the n-th request with the n-th text, whatever the
/// connection. An empty text closes the connection.
struct scripted_server {
    explicit scripted_server(event::loop& owner)
        : accepting(owner) {
        cr_assert(
            accepting
                .open(
                    {"127.0.0.1", 0},
                    [this](const event::connection_ptr& link) {
                        ++connections;
                        links.push_back(link);
                        link->set_handlers(
                            {[this, link](std::string_view) { answer(link); },
                             [](event::connection_end) {}, nullptr});
                    })
                .ok());
    }
    void answer(const event::connection_ptr& link) {
        const std::string text =
            answered < answers.size() ? answers[answered] : "";
        ++answered;
        if (text.empty())
            link->close();
        else
            link->write(text);
    }
    event::listener accepting;
    std::vector<event::connection_ptr> links;
    std::vector<std::string> answers;
    std::size_t answered = 0;
    int connections = 0;
};

struct outcome {
    int status = 0;
    std::string body;
    bool done = false;
    bool failed = false;
    call_failure why = call_failure::unreachable;
};

/// @return handlers that record what a call tells, and stop the loop at its
/// end.
call_handlers recording(
    event::loop& owner, outcome& seen,
    std::function<bool(const http1::response_head&)> belongs = {}) {
    return {
        std::move(belongs),
        [&seen](http1::response_head& head) { seen.status = head.status; },
        [&seen](std::string_view piece) { seen.body += piece; },
        [&owner, &seen] {
            seen.done = true;
            owner.stop();
        },
        [&owner, &seen](call_failure why) {
            seen.failed = true;
            seen.why = why;
            owner.stop();
        }};
}

struct client {
    client()
        : server(owner)
        , pool(owner)
        , limit(owner) {}

    outcome
    run(std::function<bool(const http1::response_head&)> belongs = {},
        const call_options& options = {}) {
        outcome seen;
        call_request request;
        request.head.method = "GET";
        request.head.target = "/";
        const auto running = call::start(
            pool, {"s", {"127.0.0.1", server.accepting.port()}},
            std::move(request), options,
            recording(owner, seen, std::move(belongs)));
        limit.start(test_limit, [&] { owner.stop(); });
        owner.run();
        limit.stop();
        return seen;
    }

    event::loop owner;
    scripted_server server;
    connection_pool pool;
    event::timer limit;
};

/// Accepts connections and reads nothing until it is told to.
struct slow_reader {
    slow_reader() {
        constexpr int room = 2048;
        listening = ::socket(AF_INET, SOCK_STREAM, 0);
        ::setsockopt(listening, SOL_SOCKET, SO_RCVBUF, &room, sizeof room);
        sockaddr_in where{};
        where.sin_family = AF_INET;
        where.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        socklen_t length = sizeof where;
        auto* const generic = reinterpret_cast<sockaddr*>(&where);
        cr_assert(::bind(listening, generic, length) == 0);
        cr_assert(::listen(listening, 1) == 0);
        cr_assert(::getsockname(listening, generic, &length) == 0);
        port = ntohs(where.sin_port);
    }
    ~slow_reader() { ::close(listening); }
    slow_reader(const slow_reader&) = delete;
    slow_reader& operator=(const slow_reader&) = delete;

    /// @return how much of what was sent on the first connection arrives.
    std::size_t read_all() const {
        const int link = ::accept(listening, nullptr, nullptr);
        std::size_t total = 0;
        char buffer[4096];
        for (;;) {
            const ssize_t count = ::read(link, buffer, sizeof buffer);
            if (count <= 0)
                break;
            total += static_cast<std::size_t>(count);
        }
        ::close(link);
        return total;
    }

    int listening = -1;
    std::uint16_t port = 0;
};

bool is_ours(const http1::response_head& head) {
    const std::string* id = http1::find_field(head.fields, "Id");
    return id != nullptr && *id == "mine";
}

} // namespace

Test(call, connections_are_used_again) {
    client caller;
    caller.server.answers = {
        "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nab",
        "HTTP/1.1 201 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
        "1\r\nc\r\n0\r\n\r\n"};
    cr_assert(caller.run().body == "ab");
    const outcome second = caller.run();
    cr_assert(second.status == 201);
    cr_assert(second.body == "c");
    cr_assert(caller.server.connections == 1);
}

Test(call, a_connection_with_surplus_bytes_is_not_used_again) {
    client caller;
    caller.server.answers = {
        "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\naHTTP/1.1 200 OK\r\n\r\n",
        "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nb"};
    cr_assert(caller.run().body == "a");
    cr_assert(caller.run().body == "b");
    cr_assert(caller.server.connections == 2);
}

Test(call, an_answer_to_another_request_is_skipped) {
    client caller;
    caller.server.answers = {
        "HTTP/1.1 200 OK\r\nId: old\r\nContent-Length: 3\r\n\r\noldHTTP/1.1 "
        "200 OK\r\nId: mine\r\nContent-Length: 3\r\n\r\nnew"};
    const outcome seen = caller.run(is_ours);
    cr_assert(seen.done);
    cr_assert(seen.body == "new");
    cr_assert(caller.pool.idle("s") == 0);
}

Test(call, an_answer_that_ends_early_is_a_failure) {
    client caller;
    caller.server.answers = {"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nab"};
    bool closed = false;
    event::timer closing(caller.owner);
    closing.start(base::milliseconds(100), [&] {
        closed = true;
        caller.server.links.front()->close();
    });
    const outcome seen = caller.run();
    cr_assert(closed);
    cr_assert(seen.failed);
    cr_assert(seen.why == call_failure::ended);
}

Test(call, an_answer_without_length_is_whole_only_after_an_orderly_end) {
    for (const bool orderly : {true, false}) {
        client caller;
        caller.server.answers = {"HTTP/1.1 200 OK\r\n\r\nab"};
        event::timer closing(caller.owner);
        closing.start(base::milliseconds(100), [&] {
            if (orderly)
                caller.server.links.front()->close();
            else
                caller.server.links.front()->reset();
        });
        const outcome seen = caller.run();
        cr_assert(seen.done == orderly);
        cr_assert(seen.failed == !orderly);
    }
}

// Whoever kept the whole answer could be made to keep bytes without end.
Test(call, an_answer_beyond_the_bound_of_its_body_is_a_failure) {
    const std::string body(100, 'x');
    for (const std::string& head :
         {std::string("HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\n"),
          std::string("HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n")}) {
        client c;
        c.server.answers = {head + body};
        const outcome seen = c.run({}, {.answer_body_bytes = 99});
        cr_assert(seen.failed);
        cr_assert(seen.why == call_failure::bad_answer);
        cr_assert(seen.body.size() < 100);
    }
    client c;
    c.server.answers = {
        "HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\n" + body};
    cr_assert(c.run({}, {.answer_body_bytes = 100}).done);
}

Test(call, noise_is_no_answer) {
    client caller;
    caller.server.answers = {"garbage without end\r\n\r\n"};
    const outcome seen = caller.run();
    cr_assert(seen.failed);
    cr_assert(seen.why == call_failure::bad_answer);
}

Test(call, a_closed_connection_is_a_failure_after_sending) {
    client caller;
    caller.server.answers = {""};
    const outcome seen = caller.run();
    cr_assert(seen.failed);
    cr_assert(seen.why == call_failure::ended);
}

Test(call, a_server_that_is_not_there_was_sent_nothing) {
    client caller;
    caller.server.accepting.close();
    const outcome seen = caller.run();
    cr_assert(seen.failed);
    cr_assert(seen.why == call_failure::refused);
    cr_assert(nothing_was_sent(seen.why));
}

Test(call, informational_answers_are_passed_over) {
    client caller;
    caller.server.answers = {
        "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: "
        "1\r\n\r\nx"};
    const outcome seen = caller.run();
    cr_assert(seen.status == 200);
    cr_assert(seen.body == "x");
}

// What followed a status that HTTP does not know was taken for the answer.
Test(call, an_answer_behind_a_bad_status_is_not_taken) {
    for (const char* status : {"000", "099", "101", "600"}) {
        client caller;
        caller.server.answers = {
            "HTTP/1.1 " + std::string(status) +
            " X\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nx"};
        const outcome seen = caller.run();
        cr_assert(seen.failed, "%s", status);
        cr_assert(seen.why == call_failure::bad_answer, "%s", status);
    }
}

Test(call, a_named_idle_time_of_nothing_is_heeded) {
    client caller;
    caller.server.answers = {
        "HTTP/1.1 200 OK\r\nKeep-Alive: timeout=0\r\nContent-Length: "
        "1\r\n\r\nx",
        "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 1\r\n\r\ny"};
    caller.run();
    cr_assert(caller.pool.idle("s") == 0);
    caller.run();
    cr_assert(caller.pool.idle("s") == 0);
    cr_assert(caller.server.connections == 2);
}

namespace {

/// Answers an upload at once, without a length, with the first part of a body.
/// @param finish ends the connection while the upload is being written.
outcome
answer_upload(const std::function<void(const event::connection_ptr&)>& finish) {
    event::loop owner;
    connection_pool pool(owner);
    event::timer later(owner);
    event::timer limit(owner);
    event::connection_ptr accepted;
    event::listener accepting(owner);
    cr_assert(accepting
                  .open(
                      {"127.0.0.1", 0},
                      [&](const event::connection_ptr& link) {
                          accepted = link;
                          link->write("HTTP/1.1 200 OK\r\n\r\nfirst part");
                          later.start(base::milliseconds(30), [&] {
                              finish(accepted);
                          });
                      })
                  .ok());
    call_request request;
    request.head.method = "POST";
    request.head.target = "/";
    request.body = std::make_shared<const std::string>(16 * 1024 * 1024, 'x');
    outcome seen;
    const auto running = call::start(
        pool, {"s", {"127.0.0.1", accepting.port()}}, std::move(request), {},
        recording(owner, seen));
    limit.start(test_limit, [&] { owner.stop(); });
    owner.run();
    return seen;
}

} // namespace

// The part of an answer that a reset under an upload left passed for the whole.
Test(call, a_reset_under_an_upload_is_no_end_of_an_answer) {
    const outcome seen =
        answer_upload([](const event::connection_ptr& link) { link->reset(); });
    cr_assert(seen.status == 200);
    cr_assert(seen.failed);
    cr_assert(seen.why == call_failure::ended);
}

Test(call, an_answer_does_not_end_before_its_request_was_written) {
    const outcome seen =
        answer_upload([](const event::connection_ptr& link) { link->close(); });
    cr_assert(seen.status == 200);
    cr_assert(seen.failed);
    cr_assert(seen.why == call_failure::ended);
}

Test(call, a_request_that_was_given_up_does_not_arrive_later) {
    // A request was given up while the way to its server was blocked, and
    // served elsewhere; seconds later, once the way was free, the server got it
    // whole: the kernel goes on sending what it has taken when a connection is
    // closed, but not when it is reset.
    constexpr std::size_t body_bytes = 100000;
    event::loop owner;
    connection_pool pool(owner);
    slow_reader server;
    call_request request;
    request.head.method = "POST";
    request.head.target = "/";
    request.body = std::make_shared<const std::string>(body_bytes, 'x');
    auto running = call::start(
        pool, {"s", {"127.0.0.1", server.port}}, std::move(request), {},
        {nullptr, [](http1::response_head&) {}, [](std::string_view) {}, [] {},
         [](call_failure) {}});
    event::timer later(owner);
    later.start(base::milliseconds(200), [&] {
        cr_assert(running->sent());
        running.reset();
        owner.stop();
    });
    owner.run();
    cr_assert(server.read_all() < body_bytes);
}
