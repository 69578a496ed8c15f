#include <mintknot/traffic/load_view.hpp>

#include <criterion/criterion.h>

#include <cmath>

using namespace mintknot;
using namespace mintknot::traffic;

namespace {

const base::steady_time start = base::steady_time{} + std::chrono::hours(1);

server_load stream(double tokens) {
    server_load load{1, 0.0, tokens};
    load.profile.covered = tokens;
    load.profile.start = start;
    for (std::size_t i = 0; i < memory_profile::points; ++i) {
        load.profile.mean[i] = tokens + 100.0 * static_cast<double>(i);
        load.profile.variance[i] = static_cast<double>(i);
        load.profile.highest[i] = load.profile.mean[i];
    }
    return load;
}

bool near(double left, double right) {
    return std::abs(left - right) < 1e-6;
}

} // namespace

// Guards against memory that stays counted after the streams of a peer have
// ended, which would refuse requests for ever.
Test(memory_profile, nothing_is_left_when_peers_take_their_loads_back) {
    load_view view;
    for (int i = 0; i < 50; ++i) {
        const base::steady_time now = start + base::milliseconds(137 * i);
        set_peer(
            view, "p" + std::to_string(i % 3), {{"e", stream(900.0)}}, now);
        add_to_peer(view, "q", {{"e", stream(300.0)}}, now);
        set_peer(view, "q", {{"e", stream(500.0)}}, now);
    }
    const base::steady_time end = start + base::milliseconds(137 * 50);
    for (const char* peer : {"p0", "p1"})
        set_peer(view, peer, {}, end);
    const server_load left = total(view, "e");
    cr_assert(left.calls == 2);
    cr_assert(near(left.profile.covered, 1400.0));
    set_peer(view, "p2", {}, end);
    set_peer(view, "q", {}, end);
    cr_assert(view.of_peers.empty());
    cr_assert(!profile_age(view, "e", end));
}

// Guards against a forecast that stands still while reports are late: the
// profile must move on along its points.
Test(memory_profile, a_profile_ages_along_its_points) {
    const memory_profile now = stream(1000.0).profile;
    const memory_profile later = resampled(now, start + 2 * profile_step);
    cr_assert(near(later.mean[0], 1200.0));
    cr_assert(near(later.mean[5], 1700.0));
    cr_assert(near(later.mean[6], 850.0), "halved beyond the last point");
    const memory_profile between = resampled(now, start + profile_step / 2);
    cr_assert(near(between.mean[0], 1050.0));
    cr_assert(near(resampled(now, start - profile_step).mean[0], 1000.0));
}

// Guards against a change of decisions where no profile is known.
Test(memory_profile, loads_without_profiles_have_none) {
    load_view view;
    set_peer(view, "p", {{"e", {1, 0.0, 700.0}}}, start);
    add(view, "e", {1, 0.0, 300.0});
    const server_load sum = total(view, "e");
    cr_assert(sum.memory_tokens == 1000.0);
    cr_assert(!sum.profile.present());
    cr_assert(sum.profile.start == base::steady_time{});
    cr_assert(!profile_age(view, "e", start));
}

Test(memory_profile, the_age_of_a_report_is_that_of_the_newest) {
    load_view view;
    set_peer(view, "p", {{"e", stream(700.0)}}, start);
    set_peer(view, "q", {{"e", stream(700.0)}}, start + profile_step);
    cr_assert(
        *profile_age(view, "e", start + 2 * profile_step) == profile_step);
}
