/// @file
/// Clients that do not keep to the limits, against one real instance of
/// mintknotd-platform whose machine is small. Each test is one crowd.

#include "check_trial.hpp"
#include "platform_trial.hpp"

#include <criterion/criterion.h>
#include <fmt/format.h>

#include <string>
#include <vector>

using namespace mintknot::crowds;

namespace {

constexpr std::size_t mebibyte = 1024 * 1024;
constexpr int status_ok = 200;

void check(
    const crowd_plan& plan, platform_target target = platform_target::callers,
    const machine_limits& limits = {}) {
    const auto seen = run_platform_trial(plan, limits, target);
    cr_assert(seen.has_value());
    check_trial(*seen, {limits.memory_mb * mebibyte, limits.max_descriptors});
}

std::string request_head(const std::string& fields) {
    return "POST /safe/x HTTP/1.1\r\nHost: soak.example\r\n"
           "X-Mintknot-Request-Id: calm\r\n" +
           fields + "\r\n";
}

std::string in_chunks(std::size_t body, std::size_t chunk) {
    std::string text = request_head("Transfer-Encoding: chunked\r\n");
    for (std::size_t sent = 0; sent < body; sent += chunk)
        text += fmt::format("{:x}\r\n{}\r\n", chunk, std::string(chunk, 'x'));
    return text + "0\r\n\r\n";
}

} // namespace

// Limits that keep crowds out must not keep out a request inside the limits.
Test(crowds, requests_inside_the_limits_are_served_in_calm) {
    const std::size_t room = max_header_bytes - 256;
    const std::vector<std::string> requests = {
        request_head(fmt::format("Content-Length: {}\r\n", max_body_bytes)) +
            std::string(max_body_bytes, 'x'),
        in_chunks(max_body_bytes, mebibyte),
        in_chunks(max_body_bytes, 1),
        request_head(
            "X-Long: " + std::string(room, 'h') + "\r\nContent-Length: 0\r\n"),
        request_head("Transfer-Encoding: chunked\r\n") +
            "2;extension=1\r\nhi\r\n0\r\nX-Trailer: t\r\n\r\n",
        request_head("Transfer-Encoding: chunked\r\n") +
            "2;e=" + std::string(room, 'e') +
            "\r\nhi\r\n0\r\nX-Trailer: " + std::string(room, 't') + "\r\n\r\n"};
    const std::vector<int> statuses = run_calm(requests, {});
    cr_assert(statuses.size() == requests.size());
    for (std::size_t i = 0; i < statuses.size(); ++i)
        cr_expect(statuses[i] == status_ok, "request %zu: %d", i, statuses[i]);
}

// Trailers were kept without a bound: a process ran out of memory.
Test(crowds, trailers_without_end) {
    check(trailers_without_end());
}

Test(crowds, a_trailer_line_without_end) {
    check(trailer_line_without_end());
}

Test(crowds, unfinished_trailers) {
    check(unfinished_trailers());
}

Test(crowds, a_chunk_extension_without_end) {
    check(chunk_extension_without_end());
}

// Bodies counted only once they were whole, and then others were refused.
Test(crowds, unfinished_bodies_in_large_chunks) {
    check(unfinished_bodies_in_large_chunks());
}

Test(crowds, unfinished_bodies_in_small_chunks) {
    check(unfinished_bodies_in_small_chunks());
}

Test(crowds, unfinished_bodies_with_a_length) {
    check(unfinished_bodies_with_a_length());
}

Test(crowds, half_bodies_with_a_length) {
    check(half_bodies_with_a_length());
}

// What has arrived and is not read yet is memory of the machine too.
Test(crowds, many_senders_at_once) {
    check(many_senders_at_once(), platform_target::callers, {64, 4100});
}

// The room of a refused body was kept while its connection rested.
Test(crowds, resting_connections_behind_bodies) {
    check(resting_connections_behind_bodies());
}

Test(crowds, chunks_without_end) {
    check(chunks_without_end());
}

Test(crowds, announced_bodies_over_the_limit) {
    check(announced_bodies_over_the_limit());
}

// Answers to pipelined requests were queued without a bound.
Test(crowds, pipelined_requests_whose_answers_are_not_read) {
    check(pipelined_requests_without_reading());
}

Test(crowds, bytes_without_end_behind_a_request) {
    check(bytes_behind_a_request());
}

Test(crowds, unfinished_heads) {
    check(unfinished_heads());
}

// A head of many short fields holds many times its length.
Test(crowds, heads_of_short_fields) {
    check(heads_of_short_fields());
}

// Connections on which a body had begun shut out all others.
Test(crowds, more_connections_than_an_instance_takes) {
    check(first_bytes_of_bodies());
}

// What peers and balancers send was kept without a bound.
Test(crowds, trailers_without_end_where_peers_call) {
    check(trailers_without_end(), platform_target::peers);
}

Test(crowds, a_chunk_extension_without_end_where_peers_call) {
    check(chunk_extension_without_end(), platform_target::peers);
}

Test(crowds, trailers_without_end_where_readiness_is_told) {
    check(trailers_without_end(), platform_target::readiness);
}

Test(crowds, pipelined_requests_where_readiness_is_told) {
    check(pipelined_requests_without_reading(), platform_target::readiness);
}
