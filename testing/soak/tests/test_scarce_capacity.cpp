/// @file
/// More streams than the engines have memory for: refusals, returns and shares
/// under faults.

#include "check_soak.hpp"

#include <criterion/criterion.h>

using namespace mintknot::soak;

namespace {

/// Some three times the streams that three engines can hold.
constexpr std::size_t competing_callers = 40;

} // namespace

// Guards against promises that break only while requests are refused: a request
// that runs after its refusal, or a refusal without a time to return.
Test(soak_scarce_capacity, promises_hold_while_requests_are_refused) {
    soak_options options;
    options.seed = 7001;
    options.callers = competing_callers;
    options.scarce_capacity = true;
    check_soak(options);
}

// Guards against the same while schedulers, which keep the state of admission
// control, are killed, suspended and cut off.
Test(soak_scarce_capacity, promises_hold_while_schedulers_fail) {
    soak_options options;
    options.seed = 7002;
    options.instances = 4;
    options.callers = competing_callers;
    options.schedulers = true;
    options.scarce_capacity = true;
    check_soak(options);
}
