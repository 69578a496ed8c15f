#include "check_soak.hpp"

#include <criterion/criterion.h>

using namespace mintknot;
using namespace mintknot::soak;

namespace {

soak_options with_faulty_answers(std::uint64_t seed) {
    soak_options options;
    options.seed = seed;
    options.undisturbed = true;
    options.faulty_answers = true;
    return options;
}

} // namespace

// Answers of servers in trouble reached callers as whole ones, or as others'.
Test(faulty_answers, none_reaches_a_caller) {
    for (const std::uint64_t seed : {1, 2})
        check_soak(with_faulty_answers(seed));
}

Test(faulty_answers, none_reaches_a_caller_beside_other_faults) {
    soak_options options = with_faulty_answers(3);
    options.undisturbed = false;
    check_soak(options);
}
