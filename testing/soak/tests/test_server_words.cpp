#include "check_soak.hpp"

#include <criterion/criterion.h>

using namespace mintknot;
using namespace mintknot::soak;

namespace {

/// Servers 0 and 1 read prompts, 2 to 5 decode, 6 to 9 are plain.
soak_options two_instances() {
    soak_options options;
    options.instances = 2;
    options.undisturbed = true;
    options.decode_engines = 4;
    options.plain_servers = 4;
    return options;
}

constexpr std::size_t a_prefill_engine = 0;
constexpr std::size_t a_decode_engine = 3;
constexpr std::size_t a_plain_server = 7;

} // namespace

Test(server_words, who_says_in_answers_that_it_leaves_gets_nothing_new) {
    for (const bool schedulers : {false, true}) {
        soak_options options = two_instances();
        options.schedulers = schedulers;
        options.say_leaving = {
            a_prefill_engine, a_decode_engine, a_plain_server};
        check_soak(options);
    }
}

Test(server_words, who_asks_for_rest_is_left_alone) {
    for (const bool schedulers : {false, true}) {
        soak_options options = two_instances();
        options.schedulers = schedulers;
        options.ask_rest = {a_prefill_engine, a_decode_engine, a_plain_server};
        check_soak(options);
    }
}

Test(server_words, all_that_ask_for_rest_are_left_alone) {
    soak_options options = two_instances();
    options.ask_rest = {2, 3, 4, 5, 6, 7, 8, 9};
    check_soak(options);
}
