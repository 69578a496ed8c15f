#include "crowd_plan.hpp"

#include <fmt/format.h>

#include <iterator>

namespace mintknot::crowds {

namespace {

constexpr std::size_t mebibyte = 1024 * 1024;
/// What a client sends at most that sends without end.
constexpr std::size_t max_endless_bytes = 16 * mebibyte;
constexpr std::size_t block_bytes = 64 * 1024;
/// Short of the end of an unfinished body.
constexpr std::size_t missing_bytes = 64;
constexpr std::size_t few_clients = 20;
constexpr std::size_t many_clients = 60;
/// Paths of the configuration, and one that it does not have.
constexpr const char* routed = "/safe/x";
constexpr const char* unrouted = "/no-such-route/x";

std::string head(const char* path, const std::string& fields) {
    return fmt::format(
        "POST {} HTTP/1.1\r\nHost: soak.example\r\n"
        "X-Mintknot-Request-Id: crowd\r\n{}\r\n",
        path, fields);
}

std::string chunked_head() {
    return head(routed, "Transfer-Encoding: chunked\r\n");
}

std::string head_with_length(const char* path, std::size_t length) {
    return head(path, fmt::format("Content-Length: {}\r\n", length));
}

std::string chunk(std::size_t size) {
    return fmt::format("{:x}\r\n{}\r\n", size, std::string(size, 'x'));
}

/// @return the text, as often as it fits in a block.
std::string block_of(const std::string& text) {
    std::string block;
    while (block.size() + text.size() <= block_bytes)
        block += text;
    return block;
}

crowd_plan
endless(std::size_t clients, std::string opening, const std::string& repeated) {
    crowd_plan plan;
    plan.clients = clients;
    plan.opening = std::move(opening);
    plan.repeated = block_of(repeated);
    plan.repeats = max_endless_bytes / plan.repeated.size();
    return plan;
}

/// @param size of what is sent of a body.
crowd_plan body_with_length(
    std::size_t clients, const char* path, std::size_t length,
    std::size_t size) {
    crowd_plan plan;
    plan.clients = clients;
    plan.opening = head_with_length(path, length);
    plan.repeated = std::string(block_bytes, 'x');
    plan.repeats = size / block_bytes;
    plan.ending = std::string(size % block_bytes, 'x');
    return plan;
}

std::string short_body_and_last_chunk() {
    return chunked_head() + chunk(4) + "0\r\n";
}

} // namespace

crowd_plan sent_to(crowd_plan plan, const std::string& path) {
    const std::size_t at = plan.opening.find(routed);
    if (at != std::string::npos)
        plan.opening.replace(at, std::string(routed).size(), path);
    return plan;
}

crowd_plan random_crowd(std::mt19937_64& random) {
    constexpr crowd_plan (*plans[])() = {
        trailers_without_end,
        trailer_line_without_end,
        unfinished_trailers,
        chunk_extension_without_end,
        unfinished_bodies_in_large_chunks,
        unfinished_bodies_in_small_chunks,
        unfinished_bodies_with_a_length,
        half_bodies_with_a_length,
        resting_connections_behind_bodies,
        chunks_without_end,
        announced_bodies_over_the_limit,
        pipelined_requests_without_reading,
        bytes_behind_a_request,
        header_line_without_end,
        unfinished_heads,
        heads_of_short_fields,
        first_bytes_of_bodies};
    constexpr std::size_t min_clients = 10;
    constexpr std::size_t max_clients = 60;
    crowd_plan plan = sent_to(plans[random() % std::size(plans)](), unrouted);
    plan.clients = min_clients + random() % (max_clients - min_clients + 1);
    return plan;
}

crowd_plan trailers_without_end() {
    return endless(
        few_clients, short_body_and_last_chunk(),
        "X-Trailer: " + std::string(100, 't') + "\r\n");
}

crowd_plan trailer_line_without_end() {
    return endless(few_clients, short_body_and_last_chunk() + "X-Line: ", "t");
}

crowd_plan unfinished_trailers() {
    crowd_plan plan = trailers_without_end();
    plan.clients = 150;
    plan.repeats = 800'000 / plan.repeated.size();
    return plan;
}

crowd_plan chunk_extension_without_end() {
    return endless(few_clients, chunked_head() + "4;", "e");
}

crowd_plan unfinished_bodies_in_large_chunks() {
    crowd_plan plan;
    plan.clients = many_clients;
    plan.opening = chunked_head();
    plan.repeated = chunk(mebibyte);
    plan.repeats = max_body_bytes / mebibyte - 1;
    plan.ending = chunk(mebibyte - missing_bytes);
    return plan;
}

crowd_plan unfinished_bodies_in_small_chunks() {
    constexpr std::size_t chunks_at_once = 4096;
    crowd_plan plan;
    plan.clients = few_clients;
    plan.opening = chunked_head();
    for (std::size_t i = 0; i < chunks_at_once; ++i)
        plan.repeated += chunk(1);
    plan.repeats = max_body_bytes / chunks_at_once - 1;
    for (std::size_t i = missing_bytes; i < chunks_at_once; ++i)
        plan.ending += chunk(1);
    return plan;
}

crowd_plan unfinished_bodies_with_a_length() {
    return body_with_length(
        many_clients, routed, max_body_bytes, max_body_bytes - 1);
}

crowd_plan half_bodies_with_a_length() {
    return body_with_length(many_clients, routed, max_body_bytes, 2'200'000);
}

crowd_plan many_senders_at_once() {
    return body_with_length(900, routed, max_body_bytes, mebibyte / 2);
}

crowd_plan resting_connections_behind_bodies() {
    const std::size_t size = max_body_bytes - missing_bytes;
    return body_with_length(many_clients, unrouted, size, size);
}

crowd_plan chunks_without_end() {
    return endless(
        many_clients, chunked_head(), chunk(block_bytes - missing_bytes));
}

crowd_plan announced_bodies_over_the_limit() {
    return endless(
        many_clients, head_with_length(routed, 1'000'000'000'000), "x");
}

crowd_plan pipelined_requests_without_reading() {
    crowd_plan plan = endless(few_clients, "", head_with_length(unrouted, 0));
    plan.reads_answers = false;
    return plan;
}

crowd_plan bytes_behind_a_request() {
    return endless(many_clients, head_with_length(routed, 2) + "hi", "x");
}

crowd_plan header_line_without_end() {
    return endless(
        few_clients,
        "POST /safe/x HTTP/1.1\r\nHost: soak.example\r\nX-Long: ", "h");
}

crowd_plan unfinished_heads() {
    crowd_plan plan;
    plan.clients = 250;
    plan.opening = "POST /safe/x HTTP/1.1\r\nHost: soak.example\r\nX-Long: ";
    plan.ending = std::string(15'800 - plan.opening.size(), 'h');
    return plan;
}

crowd_plan heads_of_short_fields() {
    crowd_plan plan;
    plan.clients = 290;
    std::string fields;
    while (fields.size() < max_header_bytes - 256)
        fields += "a:\r\n";
    plan.opening = head(routed, fields + "Content-Length: 100\r\n");
    plan.ending = "x";
    return plan;
}

crowd_plan first_bytes_of_bodies() {
    crowd_plan plan;
    plan.clients = 400;
    plan.opening = head_with_length(routed, 100);
    plan.ending = "x";
    return plan;
}

} // namespace mintknot::crowds
