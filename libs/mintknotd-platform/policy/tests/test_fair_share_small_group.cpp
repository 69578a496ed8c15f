/// @file
/// The load test of shares of organisations in a group without schedulers.

#include "fair_share_load.hpp"

using namespace mintknot::policy::tests;

// Guards against a burst of one organisation that displaces all others.
Test(fair_share_small_group, others_keep_their_share) {
    check_organisations(small, 0.02);
}
