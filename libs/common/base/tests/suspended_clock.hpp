/// @file
/// A machine that is suspended, for tests.
#ifndef MINTKNOT_BASE_TESTS_SUSPENDED_CLOCK_HPP
#define MINTKNOT_BASE_TESTS_SUSPENDED_CLOCK_HPP

#include <chrono>

namespace mintknot::base::tests {

/// Lets the clocks of this process show what they would after the machine had
/// been suspended for so long: the boot time and the time of day have gone on,
/// the monotonic clock has not. To be linked into the test program itself.
void suspend_for(std::chrono::milliseconds time);

} // namespace mintknot::base::tests

#endif
