#include "two_engines.hpp"

#include <criterion/criterion.h>

#include <cmath>

using namespace mintknot;
using namespace mintknot::policy;
using namespace mintknot::policy::tests;

using base::milliseconds;

namespace {

constexpr std::size_t last = traffic::memory_profile::points - 1;

} // namespace

Test(memory_profile, a_stream_grows_and_then_ends) {
    const traffic::memory_profile seen = profile(running_stream());
    cr_assert(std::abs(seen.mean[0] - 5000.0) < 1.0);
    cr_assert(seen.variance[0] == 0.0);
    cr_assert(std::abs(seen.mean[1] - 5690.0) < 120.0);
    cr_assert(seen.mean[last] < 0.6 * (5000.0 + 70.0 * 69.0));
    cr_assert(seen.variance[last] > 0.0);
}

Test(memory_profile, nothing_is_held_before_the_hand_over) {
    stream_memory stream = running_stream();
    stream.counted_at = now + base::milliseconds(1200);
    const traffic::memory_profile seen = profile(stream);
    cr_assert(seen.mean[0] == 0.0 && seen.mean[1] == 0.0);
    cr_assert(std::abs(seen.mean[2] - 5000.0) < 1.0);
}

// Guards against output that is expected beyond what the caller allows.
Test(memory_profile, the_maximum_ends_a_stream) {
    stream_memory stream = running_stream(125.0);
    const traffic::memory_profile seen = profile(stream);
    cr_assert(seen.mean[0] > 13000.0);
    cr_assert(seen.mean[1] == 0.0);
}

// Guards against a stream that is taken for ended because it runs longer than
// any that was seen.
Test(memory_profile, a_stream_beyond_all_expectations_still_counts) {
    stream_memory stream = running_stream(100.0);
    stream.expected = 100.0;
    const traffic::memory_profile seen = profile(stream);
    cr_assert(seen.mean[0] > 11000.0);
    cr_assert(seen.mean[1] > 5000.0 && seen.mean[3] > 1000.0);
}

// Guards against a new scheduler that takes engines for empty whose streams
// have not been reported to it yet.
Test(memory_profile, a_new_scheduler_leaves_room_for_what_is_not_reported) {
    two_engines f;
    f.load_engine("d", 5, 2.0, true);
    f.load_engine("e", 5, 2.0, true);
    const auto placed_after = [&f](milliseconds time) {
        selection_inputs inputs = f.inputs(now + time);
        inputs.instances = 30;
        const placement placed = choose_servers(inputs, f.query);
        // It waits for the reports and is not sent away for seconds.
        cr_assert(
            !placed.server.empty() ||
            placed.capacity.forecast.wait.value_or(milliseconds::max()) <=
                milliseconds(500));
        return !placed.server.empty();
    };
    cr_assert(!placed_after(milliseconds(50)));
    cr_assert(!placed_after(milliseconds(200)));
    cr_assert(placed_after(milliseconds(500)));
}

// Guards against refusals of a stream that fits because others end soon.
Test(memory_profile, what_ends_soon_makes_room) {
    two_engines f;
    f.load_engine("d", 8, 25.0, true, 30.0);
    f.load_engine("e", 9, 2.0, true);
    cr_assert(choose_servers(f.inputs(), f.query).server == "d");
    // The same streams, if they are expected to go on.
    f.load_engine("d", 8, 25.0, true, 70.0);
    cr_assert(choose_servers(f.inputs(), f.query).server.empty());
    f.query.profile.reset();
    f.load_engine("d", 8, 25.0, false);
    cr_assert(choose_servers(f.inputs(), f.query).server.empty());
}

// Guards against streams that are admitted while others still have to grow:
// the engine would run out of memory and preempt one of them.
Test(memory_profile, streams_that_will_grow_keep_their_room) {
    two_engines f;
    f.load_engine("d", 9, 2.0, true);
    f.load_engine("e", 9, 2.0, true);
    const traffic::server_load load = traffic::total(f.loads, "d");
    cr_assert(expected_memory(load, now) + 5000.0 < 72923.0);
    cr_assert(choose_servers(f.inputs(), f.query).server.empty());
}

// Guards against older instances whose loads have no profile: what they have
// reserved counts at all times.
Test(memory_profile, loads_without_a_profile_count_at_all_times) {
    two_engines f;
    f.load_engine("d", 9, 0.0, false);
    f.load_engine("e", 9, 0.0, false);
    const traffic::server_load load = traffic::total(f.loads, "d");
    cr_assert(forecast_peak(load, {}, now).tokens == 72000.0);
    cr_assert(expected_memory(load, now + base::milliseconds(1400)) == 72000.0);
    cr_assert(choose_servers(f.inputs(), f.query).server.empty());
}

// Guards against a wait that is unknown, or that does not agree with the
// decision, after a refusal by the profile.
Test(memory_profile, the_capacity_forecast_follows_the_profile) {
    two_engines f;
    f.load_engine("d", 9, 40.0, true);
    f.load_engine("e", 9, 30.0, true);
    f.query.claim.emplace();
    domain_admission_state state;
    const placement refused = place_claim(state, f.inputs(), f.query);
    cr_assert(refused.server.empty());
    cr_assert(refused.capacity.forecast.wait.has_value());
    const base::milliseconds wait = *refused.capacity.forecast.wait;
    cr_assert(wait > base::milliseconds(0));
    cr_assert(wait < base::milliseconds(4000));
    cr_assert(refused.capacity.forecast.release_rate > 0.0);
    // Half of the streams on one engine have ended.
    f.load_engine("e", 4, 30.0, true);
    cr_assert(place_claim(state, f.inputs(), f.query).server == "e");
}

// Guards against a load report that is late or lost: the profile ages along
// its points, so that streams which have ended meanwhile make room.
Test(memory_profile, a_late_report_ages) {
    two_engines f;
    f.load_engine("d", 9, 40.0, true);
    const traffic::server_load load = traffic::total(f.loads, "d");
    const double if_none_ended = 9 * (5000.0 + (40 + 28) * 69.0);
    cr_assert(
        expected_memory(load, now + base::milliseconds(1400)) <
        0.95 * if_none_ended);
    cr_assert(
        *traffic::profile_age(f.loads, "d", now + base::milliseconds(1400)) ==
        base::milliseconds(1400));
    // Streams that are expected to have ended meanwhile make room.
    stream_memory ending = running_stream(25.0, 30.0);
    ending.tail = forecast_output({}, "r", {ending.expected, true}, now).tail;
    traffic::load_map loaded;
    for (int i = 0; i < 9; ++i)
        loaded["d"] += {1, 0.0, 8000.0, profile(ending)};
    traffic::set_peer(f.loads, "peer of d", loaded, now);
    f.load_engine("e", 9, 0.0, false);
    cr_assert(choose_servers(f.inputs(), f.query).server.empty());
    const base::steady_time then = now + base::milliseconds(1400);
    cr_assert(choose_servers(f.inputs(then), f.query).server == "d");
}

// Guards against an engine that restarts under its ID and keeps the memory of
// its former streams: their instances report that they have ended.
Test(memory_profile, a_restarted_engine_is_empty_once_its_streams_are_over) {
    two_engines f;
    f.load_engine("d", 9, 2.0, true);
    f.load_engine("e", 9, 2.0, true);
    cr_assert(choose_servers(f.inputs(), f.query).server.empty());
    f.load_engine("d", 0, 0.0, true);
    cr_assert(choose_servers(f.inputs(), f.query).server == "d");
    cr_assert(
        forecast_peak(traffic::total(f.loads, "d"), {}, now).tokens < 1.0);
}

// Guards against a caller that states a huge prompt: its variance would leave a
// rounding error in the sum of an engine after the stream has ended.
Test(memory_profile, a_huge_stream_leaves_nothing_behind) {
    stream_memory huge = running_stream();
    huge.prompt = 1e12;
    traffic::memory_profile sum = profile(running_stream());
    const traffic::memory_profile before = sum;
    sum += profile(huge);
    sum -= profile(huge);
    for (std::size_t i = 0; i <= last; ++i) {
        cr_assert(std::abs(sum.mean[i] - before.mean[i]) < 1.0);
        cr_assert(std::abs(sum.variance[i] - before.variance[i]) < 1.0);
    }
}
