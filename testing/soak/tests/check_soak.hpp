/// @file
/// One soak as a test.
#ifndef MINTKNOT_SOAK_TESTS_CHECK_SOAK_HPP
#define MINTKNOT_SOAK_TESTS_CHECK_SOAK_HPP

#include "soak_run.hpp"

namespace mintknot::soak {

/// Runs a soak; the test fails, and says with which seed and where the logs
/// are, if a promise was broken.
void check_soak(const soak_options& options);

} // namespace mintknot::soak

#endif
