#include "check_soak.hpp"

#include <criterion/criterion.h>

using namespace mintknot;
using namespace mintknot::soak;

namespace {

/// Two instances and enough servers that some are always up.
soak_options two_instances(request_kind crashing) {
    soak_options options;
    options.instances = 2;
    options.undisturbed = true;
    options.crashing = {crashing};
    options.decode_engines = 10;
    options.plain_servers = 4;
    return options;
}

constexpr std::uint64_t seeds_that_failed[] = {1005, 1009};

} // namespace

Test(crashing_requests, a_stream_is_not_sent_to_one_server_after_another) {
    check_soak(two_instances(request_kind::stream));
}

Test(crashing_requests, a_resumable_one_is_not_sent_to_one_after_another) {
    check_soak(two_instances(request_kind::resumable));
}

Test(crashing_requests, a_plain_one_is_not_sent_to_one_server_after_another) {
    check_soak(two_instances(request_kind::unsafe));
}

Test(crashing_requests, an_end_behind_the_head_is_no_answer) {
    for (const std::uint64_t seed : {31001U, 31002U}) {
        soak_options options;
        options.seed = seed;
        options.instances = 4;
        options.length = std::chrono::seconds(12);
        options.undisturbed = true;
        options.crashing = {request_kind::stream, request_kind::unsafe};
        options.answers_without_length = true;
        check_soak(options);
    }
}

Test(crashing_requests, beside_other_faults_nobody_else_is_turned_away) {
    for (const std::uint64_t seed : seeds_that_failed) {
        soak_options options;
        options.seed = seed;
        options.crashing = {request_kind::stream, request_kind::unsafe};
        options.decode_engines = 6;
        options.plain_servers = 4;
        options.say_leaving = {0, 2};
        options.ask_rest = {1, 3, 8};
        check_soak(options);
    }
}
