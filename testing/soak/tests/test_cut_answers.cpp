#include "check_soak.hpp"

#include <criterion/criterion.h>

using namespace mintknot;
using namespace mintknot::soak;
using std::chrono::milliseconds;

namespace {

constexpr std::size_t servers = 7;

/// Streams of two seconds; no server ends while it answers.
soak_options with_answers_without_length(std::uint64_t seed) {
    soak_options options;
    options.seed = seed;
    options.instances = 4;
    options.undisturbed = true;
    options.answers_without_length = true;
    options.event_time = milliseconds(100);
    return options;
}

} // namespace

// The orderly close of a killed process looked like the end of an answer.
Test(cut_answers, none_appears_complete_after_a_kill) {
    for (const std::uint64_t seed : {1, 2}) {
        soak_options options = with_answers_without_length(seed);
        options.instance_kills = {
            milliseconds(1900), milliseconds(3700), milliseconds(5200),
            milliseconds(6900)};
        check_soak(options);
    }
}

// So did that of a process that ends at the end of its grace.
Test(cut_answers, none_appears_complete_at_the_end_of_the_grace) {
    soak_options options = with_answers_without_length(3);
    options.grace = std::chrono::seconds(1);
    options.instance_stops = {
        milliseconds(1500), milliseconds(3500), milliseconds(5500)};
    check_soak(options);
}

// And that of a peer through which an instance reaches a server.
Test(cut_answers, none_appears_complete_after_the_kill_of_a_tunnels_peer) {
    soak_options options = with_answers_without_length(4);
    options.data_centres = 2;
    server_cut cut;
    cut.instances = {0};
    for (std::size_t i = 0; i < servers; ++i)
        cut.servers.insert(i);
    cut.from = milliseconds(500);
    cut.until = milliseconds(7500);
    options.cuts = {cut};
    options.instance_kills = {
        milliseconds(2500), milliseconds(4000), milliseconds(5500)};
    check_soak(options);
}
