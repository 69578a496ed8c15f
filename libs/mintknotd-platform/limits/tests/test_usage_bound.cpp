/// @file
/// The limit of an organisation over a whole group, under faults.

#include "group_play.hpp"

#include <criterion/criterion.h>
#include <fmt/format.h>

#include <cstdlib>

using namespace mintknot;
using namespace mintknot::limits::tests;
using base::milliseconds;
using std::chrono::seconds;

namespace {

/// One organisation at several times its limit, as the hottest of the shifted
/// deployment is.
constexpr double hot = 4.2;
/// What an organisation uses of its limit on a calm day.
constexpr double calm = 0.55;

using fault = std::function<void(group_play&)>;

const fault none = [](group_play&) {};
const fault keeper_dies = [](group_play& group) {
    group.kill(group.keeper(), milliseconds{2000});
};
const fault keeper_is_lost = [](group_play& group) {
    group.kill(group.keeper(), seconds(3600));
};
const fault keeper_freezes = [](group_play& group) {
    group.freeze(group.keeper(), milliseconds{4000});
};
const fault all_die = [](group_play& group) {
    group.kill_all(milliseconds{1000});
};
const fault data_centre_is_cut = [](group_play& group) {
    group.cut(group.keeper() % 3, milliseconds{6000});
};
const fault other_data_centre_is_cut = [](group_play& group) {
    group.cut((group.keeper() + 1) % 3, milliseconds{6000});
};
/// An organisation that was calm sends many times its usual; a second later a
/// data centre is cut off.
const fault cut_behind_a_rise = [](group_play& group) {
    group.set_load(hot);
    group.run(seconds(1));
    group.cut((group.keeper() + 1) % 3, milliseconds{6000});
};
const fault keepers_cut_behind_a_rise = [](group_play& group) {
    group.set_load(hot);
    group.run(seconds(1));
    group.cut(group.keeper() % 3, milliseconds{6000});
};
const fault group_grows = [](group_play& group) { group.add(66); };

/// Plays ten seconds, then the fault and sixteen seconds more.
play_result play(play_terms terms, const fault& happens) {
    group_play group(std::move(terms));
    group.run(seconds(10));
    happens(group);
    group.run(seconds(16));
    return group.take_result();
}

/// MINTKNOT_PLAY_SEEDS plays more of them, for figures.
unsigned seeds() {
    const char* given = std::getenv("MINTKNOT_PLAY_SEEDS");
    return given == nullptr ? 2 : static_cast<unsigned>(std::atoi(given));
}

/// @return the worst of some seeds.
play_result worst(const char* what, play_terms terms, const fault& happens) {
    play_result result;
    for (unsigned seed = 1; seed <= seeds(); ++seed) {
        terms.seed = seed;
        const play_result one = play(terms, happens);
        result.largest_window =
            std::max(result.largest_window, one.largest_window);
        result.inside_refused =
            std::max(result.inside_refused, one.inside_refused);
        result.used = seed == 1 ? one.used : std::min(result.used, one.used);
    }
    fmt::print(
        "{:<44} {:>4} instances, load {:.2f}: window {:.3f}, used {:.3f}, "
        "refused {:.4f}\n",
        what, terms.instances, terms.load, result.largest_window, result.used,
        result.inside_refused);
    return result;
}

void expect_bound(const char* what, const fault& happens, double load = hot) {
    for (const std::size_t instances : {9, 88, 295}) {
        play_terms terms;
        terms.instances = instances;
        terms.load = load;
        const play_result seen = worst(what, terms, happens);
        cr_assert(
            seen.largest_window <= 1.0, "%s: %.3f of the bound with %zu", what,
            seen.largest_window, instances);
    }
}

void expect_served(
    const char* what, const fault& happens, double share_refused) {
    for (const std::size_t instances : {9, 88, 295}) {
        play_terms terms;
        terms.instances = instances;
        terms.load = calm;
        const play_result seen = worst(what, terms, happens);
        cr_assert(
            seen.inside_refused <= share_refused, "%s: %.4f refused with %zu",
            what, seen.inside_refused, instances);
    }
}

} // namespace

Test(usage_bound, holds_without_faults) {
    expect_bound("no fault", none);
}

Test(usage_bound, holds_where_the_keeper_dies) {
    expect_bound("keeper dies for 2 s", keeper_dies);
    expect_bound("keeper is lost", keeper_is_lost);
}

Test(usage_bound, holds_where_the_keeper_freezes) {
    expect_bound("keeper freezes for 4 s", keeper_freezes);
}

Test(usage_bound, holds_where_all_die) {
    expect_bound("all die for 1 s", all_die);
}

Test(usage_bound, holds_where_a_data_centre_is_cut_off) {
    expect_bound("keeper's data centre cut off", data_centre_is_cut);
    expect_bound("another data centre cut off", other_data_centre_is_cut);
}

Test(usage_bound, holds_where_a_cut_follows_a_rise) {
    expect_bound("cut a second behind a rise", cut_behind_a_rise, calm);
    expect_bound(
        "keeper's cut a second behind a rise", keepers_cut_behind_a_rise, calm);
}

Test(usage_bound, holds_where_the_group_grows) {
    expect_bound("66 instances more", group_grows);
}

Test(usage_bound, holds_where_datagrams_are_lost) {
    play_terms terms;
    terms.load = hot;
    terms.loss = 0.05;
    cr_assert(worst("5% lost", terms, none).largest_window <= 1.0);
}

Test(usage_bound, holds_at_four_hundred) {
    play_terms terms;
    terms.instances = 400;
    terms.load = hot;
    cr_assert(worst("all die for 1 s", terms, all_die).largest_window <= 1.0);
    cr_assert(
        worst("keeper's data centre cut off", terms, data_centre_is_cut)
            .largest_window <= 1.0);
}

Test(usage_bound, calm_loads_are_served_whole) {
    expect_served("no fault", none, 0.0);
}

Test(usage_bound, calm_loads_hardly_notice_a_keeper_that_goes) {
    expect_served("keeper dies for 2 s", keeper_dies, 0.002);
    expect_served("keeper freezes for 4 s", keeper_freezes, 0.002);
    expect_served("66 instances more", group_grows, 0.002);
}

Test(usage_bound, a_load_at_one_instance_is_served_whole) {
    play_terms terms;
    terms.load = calm;
    terms.entry = [](std::mt19937&, std::size_t) { return std::size_t{4}; };
    cr_assert(worst("all at one instance", terms, none).inside_refused == 0.0);
}

Test(usage_bound, equal_parts_refuse_what_is_inside_the_limit) {
    // The way not taken.
    play_terms terms;
    terms.load = calm;
    terms.how = way::equal_parts;
    cr_assert(worst("equal parts", terms, none).inside_refused > 0.02);
}

Test(usage_bound, a_keeper_without_deputies_does_not_keep_the_bound) {
    // The way not taken: a cut data centre lets everything in.
    play_terms terms;
    terms.load = hot;
    terms.how = way::keeper_alone;
    cr_assert(
        worst("keeper alone", terms, data_centre_is_cut).largest_window > 1.0);
}

Test(usage_bound, a_lower_limit_binds_one_window_later) {
    play_terms terms;
    terms.load = hot;
    group_play group(terms);
    group.run(seconds(10));
    group.set_rate(30000.0);
    group.run(milliseconds{8000});
    group.take_result();
    group.run(seconds(10));
    cr_assert(group.take_result().largest_window <= 1.0);
    group.set_rate(180000.0);
    group.set_load(calm);
    group.run(seconds(10));
    cr_assert(group.take_result().inside_refused <= 0.01);
}
