/// @file
/// Bytes that a client may send in place of a request.

#include "draw_settings.hpp"

#include <mintknot/http1/message_parser.hpp>

#include <criterion/criterion.h>
#include <fmt/format.h>

#include <algorithm>
#include <random>
#include <string>

using namespace mintknot;
using namespace mintknot::http1;

namespace {

constexpr int usual_draws_of_requests = 20'000;
constexpr message_limits limits{512, 4096};
constexpr std::size_t max_piece = 700;
constexpr std::size_t max_part = 1200;

/// Draws requests of chunks, extensions and trailers within the limits and
/// beyond, with some bytes changed.
class request_source {
public:
    explicit request_source(std::uint64_t seed)
        : random_(seed) {}

    std::size_t draw(std::size_t bound) { return random_() % bound; }

    std::string request() {
        std::string text = draw(2) == 0 ? with_length() : in_chunks();
        for (std::size_t changes = draw(4); changes > 1; --changes)
            change(text);
        return text;
    }

private:
    std::string filling(char letter) {
        return std::string(draw(4) == 0 ? draw(max_part) : draw(20), letter);
    }

    std::string head(const std::string& fields) {
        return "POST /x HTTP/1.1\r\nHost: h\r\nX-Long: " + filling('h') +
               "\r\n" + fields + "\r\n";
    }

    std::string with_length() {
        const std::string body(draw(2 * limits.body_bytes), 'b');
        return head(fmt::format("Content-Length: {}\r\n", body.size())) + body;
    }

    std::string in_chunks() {
        std::string text = head("Transfer-Encoding: chunked\r\n");
        for (std::size_t chunks = draw(8); chunks > 0; --chunks) {
            const std::string body(1 + draw(max_part), 'b');
            text += fmt::format(
                "{:x};{}\r\n{}\r\n", body.size(), "e=" + filling('e'), body);
        }
        text += "0\r\n";
        for (std::size_t trailers = draw(5); trailers > 0; --trailers)
            text += "X-Trailer: " + filling('t') + "\r\n";
        return text + "\r\n";
    }

    void change(std::string& text) {
        const std::size_t at = draw(text.size());
        if (draw(2) == 0)
            text[at] = static_cast<char>(draw(256));
        else
            text.erase(at, 1 + draw(4));
    }

    std::mt19937_64 random_;
};

} // namespace

// Bytes that the parser could not use yet were kept without a bound.
Test(requests, no_bytes_make_a_reader_keep_more_than_the_limits) {
    request_source source(fuzz::seed());
    int whole = 0;
    int refused = 0;
    for (int i = 0; i < fuzz::draws(usual_draws_of_requests); ++i) {
        const std::string text = source.request() + source.request();
        request_parser parser(limits);
        std::string pending;
        std::size_t body = 0;
        std::size_t fed = 0;
        while (fed < text.size() && !parser.done() &&
               parser.error() == parse_error::none) {
            const std::size_t piece =
                std::min(1 + source.draw(max_piece), text.size() - fed);
            pending += text.substr(fed, piece);
            fed += piece;
            pending.erase(0, parser.put(pending, [&](std::string_view part) {
                body += part.size();
            }));
            if (!parser.done() && parser.error() == parse_error::none)
                cr_assert(pending.size() <= limits.header_bytes);
        }
        cr_assert(body <= limits.body_bytes);
        whole += parser.done() ? 1 : 0;
        refused += parser.error() != parse_error::none ? 1 : 0;
    }
    cr_assert(whole > 0);
    cr_assert(refused > 0);
}
