/// @file
/// Clients that do not keep to the limits, against one real instance of
/// mintknotd. Each test is one crowd. None of them has a key.

#include "check_trial.hpp"
#include "daemon_trial.hpp"

#include <criterion/criterion.h>

using namespace mintknot::crowds;

namespace {

/// What an instance may take of its machine: see docs/CAPACITY.md.
constexpr std::size_t max_memory_bytes = 256 * 1024 * 1024;
/// Of a process, where the system is as it comes.
constexpr std::size_t max_descriptors = 1024;

void check(
    const crowd_plan& plan, daemon_target target = daemon_target::callers) {
    check_trial(
        run_daemon_trial(sent_to(plan, "/v1/completions"), target),
        {max_memory_bytes, max_descriptors});
}

crowd_plan with_clients(crowd_plan plan, std::size_t clients) {
    plan.clients = clients;
    return plan;
}

} // namespace

Test(daemon_crowds, a_header_line_without_end) {
    check(header_line_without_end());
}

Test(daemon_crowds, trailers_without_end) {
    check(trailers_without_end());
}

Test(daemon_crowds, a_trailer_line_without_end) {
    check(trailer_line_without_end());
}

Test(daemon_crowds, a_chunk_extension_without_end) {
    check(chunk_extension_without_end());
}

Test(daemon_crowds, unfinished_bodies_with_a_length) {
    check(with_clients(unfinished_bodies_with_a_length(), 120));
}

Test(daemon_crowds, unfinished_bodies_in_large_chunks) {
    check(with_clients(unfinished_bodies_in_large_chunks(), 120));
}

Test(daemon_crowds, unfinished_bodies_where_operators_call) {
    check(
        with_clients(unfinished_bodies_with_a_length(), 120),
        daemon_target::operators);
}

Test(daemon_crowds, chunks_without_end) {
    check(chunks_without_end());
}

Test(daemon_crowds, more_connections_than_an_instance_takes) {
    check(first_bytes_of_bodies());
}
