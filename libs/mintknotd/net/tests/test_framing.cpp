/// @file
/// Requests whose body has an unknown transfer coding, from callers that go on
/// listening and could go on sending.

#include <mintknot/net/http_server.hpp>

#include <criterion/criterion.h>
#include <httplib.h>

#include <arpa/inet.h>
#include <atomic>
#include <chrono>
#include <sys/socket.h>
#include <unistd.h>

using namespace mintknot;

namespace {

/// Sends bytes and reads until the server closes the connection.
/// @param half_closed whether the caller ends its own direction first.
std::string answer_to(
    const base::address& where, const std::string& bytes,
    bool half_closed = false) {
    const int link = socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in to{};
    to.sin_family = AF_INET;
    to.sin_port = htons(where.port);
    inet_pton(AF_INET, where.host.c_str(), &to.sin_addr);
    cr_assert_eq(connect(link, reinterpret_cast<sockaddr*>(&to), sizeof to), 0);
    cr_assert_eq(
        send(link, bytes.data(), bytes.size(), MSG_NOSIGNAL),
        static_cast<ssize_t>(bytes.size()));
    if (half_closed)
        shutdown(link, SHUT_WR);
    std::string text;
    char piece[1024];
    for (ssize_t got = 0; (got = read(link, piece, sizeof piece)) > 0;)
        text.append(piece, static_cast<std::size_t>(got));
    close(link);
    return text;
}

} // namespace

namespace {

constexpr const char* unknown_codings[] = {
    "identity",          "gzip",          "xchunked",   "chunked, chunked",
    "chunked, identity", "gzip, chunked", "chunked;q=1"};

/// A request with that coding, and another one where its body would be.
std::string two_requests(const std::string& coding) {
    return "POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: " + coding +
           "\r\n\r\nPOST /hidden HTTP/1.1\r\nHost: h\r\n"
           "Content-Length: 0\r\n\r\n";
}

/// A server that counts what runs.
struct fixture {
    fixture() {
        const auto count = [this](const auto&, auto&) { ++runs; };
        server.routes().Post("/a", count);
        server.routes().Post("/hidden", count);
        const auto port = server.start({"127.0.0.1", 0});
        cr_assert(port.ok());
        where = {"127.0.0.1", *port};
    }
    std::atomic<int> runs = 0;
    net::http_server server{{}};
    base::address where;
};

} // namespace

Test(framing, an_unknown_coding_is_answered_400_at_once) {
    fixture f;
    const auto begun = std::chrono::steady_clock::now();
    for (const char* coding : unknown_codings) {
        const std::string answer = answer_to(f.where, two_requests(coding));
        cr_expect(
            answer.starts_with("HTTP/1.1 400"), "%s: %s", coding,
            answer.c_str());
        cr_expect(
            answer.find("HTTP/1.1", 1) == std::string::npos,
            "%s: a second answer", coding);
        cr_expect(f.runs == 0, "%s: a request has run", coding);
    }
    // Without a look at the head each ends with the read timeout of 10 s.
    cr_assert(
        std::chrono::steady_clock::now() - begun < std::chrono::seconds(30));
}

Test(framing, nothing_runs_for_a_caller_that_has_ended_its_direction) {
    fixture f;
    for (const char* coding : unknown_codings) {
        answer_to(f.where, two_requests(coding), true);
        cr_expect(f.runs == 0, "%s: a request has run", coding);
    }
}

Test(framing, a_chunked_body_is_taken_in_any_case_of_letters) {
    net::http_server server({});
    std::string body;
    server.routes().Post(
        "/a", [&](const httplib::Request& request, httplib::Response& reply) {
            body = request.body;
            reply.set_header("Connection", "close");
        });
    const auto port = server.start({"127.0.0.1", 0});
    cr_assert(port.ok());
    const std::string answer = answer_to(
        {"127.0.0.1", *port},
        "POST /a HTTP/1.1\r\nHost: h\r\nConnection: close\r\n"
        "Transfer-Encoding: Chunked\r\n\r\n2\r\nab\r\n0\r\n\r\n");
    cr_assert(answer.starts_with("HTTP/1.1 200"), "%s", answer.c_str());
    cr_assert(body == "ab", "%s", body.c_str());
}
