/// @file
/// Checks that the limit of an organisation holds across a group under faults.

#include "group_simulation.hpp"

#include <criterion/criterion.h>
#include <fmt/format.h>

#include <cstdlib>

using namespace mintknot;
using namespace mintknot::limits::tests;
using base::milliseconds;
using std::chrono::seconds;

namespace {

/// Load of an organisation that sends several times its limit, as the busiest
/// one of the shifted deployment does.
constexpr double overload = 4.2;
/// Load of an organisation on a normal day, relative to its limit.
constexpr double normal_load = 0.55;

using fault = std::function<void(group_simulation&)>;

const fault none = [](group_simulation&) {};
const fault keeper_dies = [](group_simulation& group) {
    group.kill(group.keeper(), milliseconds{2000});
};
const fault keeper_is_lost = [](group_simulation& group) {
    group.kill(group.keeper(), seconds(3600));
};
const fault keeper_freezes = [](group_simulation& group) {
    group.freeze(group.keeper(), milliseconds{4000});
};
const fault all_die = [](group_simulation& group) {
    group.kill_all(milliseconds{1000});
};
const fault keeper_data_centre_is_cut = [](group_simulation& group) {
    group.cut(group.keeper() % 3, milliseconds{6000});
};
const fault other_data_centre_is_cut = [](group_simulation& group) {
    group.cut((group.keeper() + 1) % 3, milliseconds{6000});
};
/// An organisation at normal load begins to send several times its limit; a
/// second later a data centre is cut off.
const fault cut_after_load_increase = [](group_simulation& group) {
    group.set_load(overload);
    group.run(seconds(1));
    group.cut((group.keeper() + 1) % 3, milliseconds{6000});
};
const fault keeper_cut_after_load_increase = [](group_simulation& group) {
    group.set_load(overload);
    group.run(seconds(1));
    group.cut(group.keeper() % 3, milliseconds{6000});
};
const fault group_grows = [](group_simulation& group) { group.add(66); };

/// Simulates ten seconds, then the fault and sixteen more seconds.
simulation_result simulate(simulation_options options, const fault& happens) {
    group_simulation group(std::move(options));
    group.run(seconds(10));
    happens(group);
    group.run(seconds(16));
    return group.take_result();
}

/// @return the number of seeds; MINTKNOT_PLAY_SEEDS sets it for measurements.
unsigned seeds() {
    const char* given = std::getenv("MINTKNOT_PLAY_SEEDS");
    return given == nullptr ? 2 : static_cast<unsigned>(std::atoi(given));
}

/// @return the worst result over all seeds.
simulation_result simulate_worst(
    const char* what, simulation_options options, const fault& happens) {
    simulation_result result;
    for (unsigned seed = 1; seed <= seeds(); ++seed) {
        options.seed = seed;
        const simulation_result one = simulate(options, happens);
        result.largest_window =
            std::max(result.largest_window, one.largest_window);
        result.refused_within_limit =
            std::max(result.refused_within_limit, one.refused_within_limit);
        result.used = seed == 1 ? one.used : std::min(result.used, one.used);
    }
    fmt::print(
        "{:<44} {:>4} instances, load {:.2f}: window {:.3f}, used {:.3f}, "
        "refused {:.4f}\n",
        what, options.instances, options.load, result.largest_window,
        result.used, result.refused_within_limit);
    return result;
}

void expect_bound(
    const char* what, const fault& happens, double load = overload) {
    for (const std::size_t instances : {9, 88, 295}) {
        simulation_options options;
        options.instances = instances;
        options.load = load;
        const simulation_result seen = simulate_worst(what, options, happens);
        cr_assert(
            seen.largest_window <= 1.0,
            "%s: %.3f of the bound with %zu instances", what,
            seen.largest_window, instances);
    }
}

void expect_served(
    const char* what, const fault& happens, double share_refused) {
    for (const std::size_t instances : {9, 88, 295}) {
        simulation_options options;
        options.instances = instances;
        options.load = normal_load;
        const simulation_result seen = simulate_worst(what, options, happens);
        cr_assert(
            seen.refused_within_limit <= share_refused,
            "%s: %.4f refused with %zu instances", what,
            seen.refused_within_limit, instances);
    }
}

} // namespace

Test(usage_bound, holds_without_faults) {
    expect_bound("no fault", none);
}

Test(usage_bound, holds_when_keeper_dies) {
    expect_bound("keeper dies for 2 s", keeper_dies);
    expect_bound("keeper is lost", keeper_is_lost);
}

Test(usage_bound, holds_when_keeper_freezes) {
    expect_bound("keeper freezes for 4 s", keeper_freezes);
}

Test(usage_bound, holds_when_all_instances_die) {
    expect_bound("all die for 1 s", all_die);
}

Test(usage_bound, holds_when_data_centre_is_partitioned) {
    expect_bound("keeper's data centre cut off", keeper_data_centre_is_cut);
    expect_bound("another data centre cut off", other_data_centre_is_cut);
}

Test(usage_bound, holds_when_partition_follows_load_increase) {
    expect_bound(
        "cut 1 s after load increase", cut_after_load_increase, normal_load);
    expect_bound(
        "keeper cut off 1 s after load increase",
        keeper_cut_after_load_increase, normal_load);
}

Test(usage_bound, holds_when_group_grows) {
    expect_bound("66 instances added", group_grows);
}

Test(usage_bound, holds_when_datagrams_are_lost) {
    simulation_options options;
    options.load = overload;
    options.loss = 0.05;
    cr_assert(
        simulate_worst("5% of datagrams lost", options, none).largest_window <=
        1.0);
}

Test(usage_bound, holds_with_400_instances) {
    simulation_options options;
    options.instances = 400;
    options.load = overload;
    cr_assert(
        simulate_worst("all die for 1 s", options, all_die).largest_window <=
        1.0);
    cr_assert(
        simulate_worst(
            "keeper's data centre cut off", options, keeper_data_centre_is_cut)
            .largest_window <= 1.0);
}

Test(usage_bound, normal_load_is_never_refused) {
    expect_served("no fault", none, 0.0);
}

Test(usage_bound, normal_load_is_rarely_refused_under_faults) {
    expect_served("keeper dies for 2 s", keeper_dies, 0.002);
    expect_served("keeper freezes for 4 s", keeper_freezes, 0.002);
    expect_served("66 instances added", group_grows, 0.002);
}

Test(usage_bound, load_at_one_instance_is_never_refused) {
    simulation_options options;
    options.load = normal_load;
    options.pick_instance = [](std::mt19937&, std::size_t) {
        return std::size_t{4};
    };
    cr_assert(
        simulate_worst("all at one instance", options, none)
            .refused_within_limit == 0.0);
}

Test(usage_bound, equal_shares_refuse_requests_within_limit) {
    // Shows why production does not use equal shares.
    simulation_options options;
    options.load = normal_load;
    options.strategy = limit_strategy::equal_shares;
    cr_assert(
        simulate_worst("equal shares", options, none).refused_within_limit >
        0.02);
}

Test(usage_bound, keeper_without_deputies_exceeds_bound) {
    // Shows why there are deputies: without them, a data centre that is cut off
    // grants everything.
    simulation_options options;
    options.load = overload;
    options.strategy = limit_strategy::keeper_only;
    cr_assert(
        simulate_worst("keeper only", options, keeper_data_centre_is_cut)
            .largest_window > 1.0);
}

Test(usage_bound, lowered_limit_holds_after_one_window) {
    simulation_options options;
    options.load = overload;
    group_simulation group(options);
    group.run(seconds(10));
    group.set_rate(30000.0);
    group.run(milliseconds{8000});
    group.take_result();
    group.run(seconds(10));
    cr_assert(group.take_result().largest_window <= 1.0);
    group.set_rate(180000.0);
    group.set_load(normal_load);
    group.run(seconds(10));
    cr_assert(group.take_result().refused_within_limit <= 0.01);
}
