#include <mintknot/http1/message_parser.hpp>

#include <criterion/criterion.h>

#include <string>

using namespace mintknot::http1;

namespace {

struct parsed {
    parse_error error = parse_error::none;
    bool done = false;
    request_head head;
    std::string body;
    std::string rest;
};

/// Feeds a request in pieces of `step` bytes.
parsed parse_request(const std::string& text, std::size_t step) {
    request_parser parser({256, 1024});
    parsed result;
    std::string pending;
    std::size_t fed = 0;
    while (fed < text.size() && !parser.done() &&
           parser.error() == parse_error::none) {
        pending += text.substr(fed, step);
        fed += std::min(step, text.size() - fed);
        const std::size_t used = parser.put(
            pending, [&](std::string_view piece) { result.body += piece; });
        pending.erase(0, used);
    }
    result.error = parser.error();
    result.done = parser.done();
    if (parser.has_head())
        result.head = parser.head();
    result.rest = pending + text.substr(fed);
    return result;
}

parse_error error_of(const std::string& text) {
    return parse_request(text, text.size()).error;
}

} // namespace

Test(request_parser, reads_a_request_in_pieces_of_any_size) {
    const std::string text = "POST /a/b?c=%20d HTTP/1.1\r\nHost: h\r\n"
                             "X-One: 1\r\nContent-Length: 5\r\n\r\nhello";
    for (std::size_t step = 1; step <= text.size(); ++step) {
        const parsed seen = parse_request(text, step);
        cr_assert(seen.done);
        cr_assert(seen.head.method == "POST");
        cr_assert(seen.head.target == "/a/b?c=%20d");
        cr_assert(seen.body == "hello");
        cr_assert(seen.rest.empty());
    }
}

// Parts of a message that come without end were kept until memory ran out.
Test(request_parser, bounds_what_comes_behind_the_head_without_end) {
    const std::string head =
        "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n";
    const std::string filling(300, 'a');
    for (const std::string& endless :
         {"4;" + filling, "2\r\nhi\r\n0;" + filling,
          "2\r\nhi\r\n0\r\nX: " + filling, "2\r\nhi\r\n0\r\n" + filling})
        for (const std::size_t step : {1, 7, 1000})
            cr_assert(
                parse_request(head + endless, step).error ==
                parse_error::header_too_large);
}

Test(request_parser, bounds_whole_extensions_and_trailers) {
    const std::string head =
        "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n";
    const std::string filling(150, 'a');
    const std::string trailers = "X: " + filling + "\r\nY: " + filling + "\r\n";
    cr_assert(
        error_of(head + "2;" + filling + filling + "\r\nhi\r\n0\r\n\r\n") ==
        parse_error::header_too_large);
    cr_assert(
        error_of(head + "2\r\nhi\r\n0\r\n" + trailers + "\r\n") ==
        parse_error::header_too_large);
    const parsed inside = parse_request(
        head + "2;" + filling + "\r\nhi\r\n0\r\nX: " + filling + "\r\n\r\n", 1);
    cr_assert(inside.done);
    cr_assert(inside.body == "hi");
}

// A bound of 2^32 wrapped round to nothing, and all requests were refused.
Test(request_parser, a_large_bound_of_the_head_does_not_wrap_round) {
    request_parser parser({std::size_t{1} << 32, 0});
    parser.put("GET / HTTP/1.1\r\nHost: h\r\n\r\n", {});
    cr_assert(parser.error() == parse_error::none);
    cr_assert(parser.done());
}

Test(request_parser, leaves_the_bytes_of_the_next_request) {
    const parsed seen = parse_request(
        "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
        "3\r\nabc\r\n0\r\n\r\nGET /next HTTP/1.1\r\n",
        1000);
    cr_assert(seen.done);
    cr_assert(seen.body == "abc");
    cr_assert(seen.rest == "GET /next HTTP/1.1\r\n");
}

Test(request_parser, rejects_ambiguous_framing) {
    cr_assert(
        error_of("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n"
                 "Content-Length: 4\r\n\r\nabcd") == parse_error::malformed);
    cr_assert(
        error_of("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n"
                 "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n") ==
        parse_error::malformed);
    cr_assert(
        error_of("GET / HTTP/1.1\r\nHost: h\r\nHost: i\r\n\r\n") ==
        parse_error::malformed);
    cr_assert(
        error_of("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: -1\r\n\r\n") ==
        parse_error::malformed);
}

Test(request_parser, rejects_every_coding_but_chunked) {
    for (const char* coding :
         {"identity", "gzip", "xchunked", "chunked, chunked",
          "chunked, identity", "gzip, chunked", "chunked;q=1", "chunked,",
          "\"chunked\"", ""}) {
        const parsed seen = parse_request(
            std::string("POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: ") +
                coding + "\r\n\r\nPOST /b HTTP/1.1\r\nHost: h\r\n\r\n",
            1000);
        cr_assert(!seen.done, "done with coding %s", coding);
        cr_assert(
            seen.error == parse_error::malformed, "accepted coding %s", coding);
    }
    cr_assert(
        error_of("POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n"
                 "Transfer-Encoding: gzip\r\n\r\n0\r\n\r\n") ==
        parse_error::malformed);
    cr_assert(
        error_of("POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: gzip\r\n"
                 "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n") ==
        parse_error::malformed);
    cr_assert(
        error_of("POST / HTTP/1.0\r\nHost: h\r\n"
                 "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n") ==
        parse_error::malformed);
    cr_assert(
        error_of("POST / HTTP/1.1\r\nHost: h\r\n"
                 "Transfer-Encoding: Chunked\r\n\r\n0\r\n\r\n") ==
        parse_error::none);
}

Test(request_parser, trailers_do_not_become_fields_of_the_head) {
    const parsed seen = parse_request(
        "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
        "3\r\nabc\r\n0\r\nX-Late: 1\r\n\r\n",
        1000);
    cr_assert(seen.done);
    cr_assert(seen.body == "abc");
    cr_assert(find_field(seen.head.fields, "X-Late") == nullptr);
}

Test(request_parser, rejects_bare_line_feeds_and_noise) {
    cr_assert(
        error_of("GET / HTTP/1.1\nHost: h\n\n\r\n\r\n") ==
        parse_error::malformed);
    cr_assert(error_of("\x01\x02\x03\r\n\r\n") == parse_error::malformed);
}

Test(request_parser, bounds_head_and_body) {
    cr_assert(
        error_of(
            "GET / HTTP/1.1\r\nX: " + std::string(400, 'a') + "\r\n\r\n") ==
        parse_error::header_too_large);
    cr_assert(
        error_of(
            "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 2000\r\n\r\n" +
            std::string(2000, 'a')) == parse_error::body_too_large);
}

Test(response_parser, frames_by_the_end_of_the_connection) {
    response_parser parser({1024, 1024}, false);
    std::string body;
    parser.put("HTTP/1.1 200 OK\r\n\r\nabc", [&](std::string_view piece) {
        body += piece;
    });
    cr_assert(!parser.done());
    cr_assert(parser.head().body == framing::close);
    parser.put_end();
    cr_assert(parser.done());
    cr_assert(body == "abc");
}

Test(response_parser, a_short_body_is_cut_off) {
    response_parser parser({1024, 1024}, false);
    parser.put("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nabc", nullptr);
    parser.put_end();
    cr_assert(!parser.done());
    cr_assert(parser.error() == parse_error::cut_off);
}

Test(response_parser, a_cut_chunk_is_cut_off) {
    response_parser parser({1024, 1024}, false);
    parser.put(
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nab",
        nullptr);
    parser.put_end();
    cr_assert(!parser.done());
    cr_assert(parser.error() == parse_error::cut_off);
}

Test(response_parser, an_unknown_coding_is_no_proper_answer) {
    for (const char* coding : {"identity", "gzip", "chunked, identity"}) {
        response_parser parser({1024, 1024}, false);
        parser.put(
            std::string("HTTP/1.1 200 OK\r\nTransfer-Encoding: ") + coding +
                "\r\n\r\nabc",
            nullptr);
        parser.put_end();
        cr_assert(!parser.done());
        cr_assert(parser.error() == parse_error::malformed);
    }
}

Test(response_parser, leaves_surplus_bytes) {
    response_parser parser({1024, 1024}, false);
    const std::string text =
        "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nabHTTP/1.1 200";
    const std::size_t used = parser.put(text, nullptr);
    cr_assert(parser.done());
    cr_assert(text.substr(used) == "HTTP/1.1 200");
}

Test(response_parser, an_answer_to_head_has_no_body) {
    response_parser parser({1024, 1024}, true);
    parser.put("HTTP/1.1 200 OK\r\nContent-Length: 20\r\n\r\n", nullptr);
    cr_assert(parser.done());
}

namespace {

/// @return the error of an answer with these first bytes of its head, whose
/// body would be "x".
parse_error error_of_answer(const std::string& head) {
    response_parser parser({1024, 1024}, false);
    parser.put(head + "Content-Length: 1\r\n\r\nx", {});
    return parser.error();
}

} // namespace

// A status of 000 counted as interim: the next answer was taken for this one.
Test(response_parser, a_status_that_http_does_not_know_is_no_answer) {
    for (const char* status :
         {"000", "001", "099", "600", "999", "20", "2000", "2x0", "-20", ""})
        cr_assert(
            error_of_answer("HTTP/1.1 " + std::string(status) + " X\r\n") ==
                parse_error::malformed,
            "%s", status);
    for (const char* status : {"200", "299", "404", "599"})
        cr_assert(
            error_of_answer("HTTP/1.1 " + std::string(status) + " X\r\n") ==
                parse_error::none,
            "%s", status);
}

// Keeps it so that a field whose name is none makes the whole answer none.
Test(response_parser, a_name_that_is_none_is_no_answer) {
    using namespace std::string_literals;
    for (const std::string& line :
         {"A b: c"s, "A\x01: c"s, "A\x7f: c"s, "A\xc3\xa9: c"s, ": c"s,
          "A : c"s, "A\t: c"s, "A\0b: c"s, "A"s, "A: \0"s, "A: b\x02"s,
          "A: b\x7f"s})
        cr_assert(
            error_of_answer("HTTP/1.1 200 X\r\n" + line + "\r\n") ==
                parse_error::malformed,
            "%s", line.c_str());
}

Test(response_parser, a_line_before_the_status_is_no_answer) {
    for (const char* before : {" ", "\t", "A: b\r\n", "HTTP/1.1 200\n"})
        cr_assert(
            error_of_answer(std::string(before) + "HTTP/1.1 200 X\r\n") ==
                parse_error::malformed,
            "%s", before);
}

Test(response_parser, a_folded_length_is_no_answer) {
    response_parser parser({1024, 1024}, false);
    parser.put("HTTP/1.1 200 X\r\nContent-Length: 1\r\n 2\r\n\r\nx", {});
    cr_assert(parser.error() == parse_error::malformed);
}

Test(response_parser, a_folded_value_is_one_line) {
    response_parser parser({1024, 1024}, false);
    parser.put("HTTP/1.1 200 X\r\nA: b\r\n c\r\n\r\n", {});
    cr_assert(parser.has_head());
    cr_assert(parser.head().fields.at(0).value == "b c");
}
