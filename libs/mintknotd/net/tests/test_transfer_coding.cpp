#include <mintknot/net/http_server.hpp>

#include <criterion/criterion.h>
#include <httplib.h>

#include <arpa/inet.h>
#include <atomic>
#include <sys/socket.h>
#include <unistd.h>

using namespace mintknot;

namespace {

/// Sends bytes, ends its own direction, and reads to the end.
std::string exchange_bytes(const base::address& where, std::string_view bytes) {
    const int link = socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in to{};
    to.sin_family = AF_INET;
    to.sin_port = htons(where.port);
    inet_pton(AF_INET, where.host.c_str(), &to.sin_addr);
    cr_assert_eq(connect(link, reinterpret_cast<sockaddr*>(&to), sizeof to), 0);
    cr_assert_eq(
        send(link, bytes.data(), bytes.size(), MSG_NOSIGNAL),
        static_cast<ssize_t>(bytes.size()));
    shutdown(link, SHUT_WR);
    std::string text;
    char piece[1024];
    for (ssize_t got = 0; (got = read(link, piece, sizeof piece)) > 0;)
        text.append(piece, static_cast<std::size_t>(got));
    close(link);
    return text;
}

} // namespace

Test(transfer_coding, an_unknown_one_runs_nothing) {
    net::http_server server({});
    std::atomic<int> runs = 0;
    std::atomic<int> hidden_runs = 0;
    server.routes().Post("/a", [&](const auto&, auto&) { ++runs; });
    server.routes().Post("/hidden", [&](const auto&, auto&) { ++hidden_runs; });
    const auto port = server.start({"127.0.0.1", 0});
    cr_assert(port.ok());
    const base::address where{"127.0.0.1", *port};
    for (const char* coding :
         {"identity", "gzip", "xchunked", "chunked, chunked",
          "chunked, identity", "gzip, chunked", "chunked;q=1"}) {
        const std::string answer = exchange_bytes(
            where, std::string("POST /a HTTP/1.1\r\nHost: h\r\n"
                               "Transfer-Encoding: ") +
                       coding +
                       "\r\n\r\nPOST /hidden HTTP/1.1\r\nHost: h\r\n"
                       "Content-Length: 0\r\n\r\n");
        cr_expect(
            answer.starts_with("HTTP/1.1 400"), "%s: %s", coding,
            answer.c_str());
        cr_expect(hidden_runs == 0, "%s: the hidden request has run", coding);
        cr_expect(runs == 0, "%s: the request has run", coding);
    }
}
