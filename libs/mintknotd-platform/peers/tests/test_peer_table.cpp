#include <mintknot/peers/peer_table.hpp>

#include <criterion/criterion.h>

#include <algorithm>

using namespace mintknot;
using namespace mintknot::peers;

namespace {

const base::steady_time start = base::steady_time{} + std::chrono::hours(1);

heartbeat beat(std::uint64_t incarnation, std::uint64_t sequence) {
    heartbeat value;
    value.incarnation = incarnation;
    value.sequence = sequence;
    return value;
}

bool contains(const std::vector<std::string>& hosts, const std::string& host) {
    return std::find(hosts.begin(), hosts.end(), host) != hosts.end();
}

} // namespace

Test(peer_table, takes_only_newer_heartbeats) {
    peer_table table;
    cr_assert(note(table, "a", beat(1, 5), start));
    cr_assert(!note(table, "a", beat(1, 4), start));
    cr_assert(!note(table, "a", beat(1, 5), start));
    // A restart begins its count anew.
    cr_assert(note(table, "a", beat(2, 1), start));
}

Test(peer_table, does_not_talk_to_itself) {
    peer_table table;
    table.own_host = "me";
    table.seeds = {"me", "seed"};
    heartbeat value = beat(1, 1);
    value.hosts = {"me", "other"};
    note(table, "a", value, start);
    cr_assert(!note(table, "me", beat(9, 9), start));
    cr_assert(!contains(sought_hosts(table), "me"));
    cr_assert(contains(sought_hosts(table), "other"));
    cr_assert(contains(sought_hosts(table), "seed"));
    cr_assert(heard_hosts(table, audience::all).size() == 1);
}

Test(peer_table, silent_instances_expire_and_are_still_sought_for_a_while) {
    peer_table table;
    note(table, "a", beat(1, 1), start);
    cr_assert(expire(table, start + policy::peer_lifetime).empty());
    const auto later = start + policy::peer_lifetime + base::milliseconds(1);
    cr_assert(expire(table, later) == std::vector<std::string>{"a"});
    cr_assert(contains(sought_hosts(table), "a"));
    expire(table, start + candidate_life + std::chrono::seconds(1));
    cr_assert(!contains(sought_hosts(table), "a"));
    cr_assert(instances(table) == 2);
}

namespace {

/// A group of 15 data centres with 26 instances each, seen from the first.
peer_table very_large_group() {
    peer_table table;
    table.own_host = "0/0";
    table.own_data_centre = "0";
    for (int data_centre = 0; data_centre < 15; ++data_centre)
        for (int number = 0; number < 26; ++number) {
            heartbeat value = beat(1, 1);
            value.data_centre = std::to_string(data_centre);
            note(
                table, value.data_centre + "/" + std::to_string(number), value,
                start);
        }
    return table;
}

constexpr base::milliseconds base_period{500};

} // namespace

Test(peer_table, other_data_centres_are_told_more_rarely) {
    const peer_table table = very_large_group();
    cr_assert(heard_hosts(table, audience::all).size() == 389);
    cr_assert(heard_hosts(table, audience::near).size() == 25);
    cr_assert(
        near_period(table, base_period) <= std::chrono::milliseconds(1300));
    cr_assert(far_period(table, base_period) >= std::chrono::seconds(7));
    cr_assert(life(table) >= 3 * far_period(table, base_period));
}

Test(peer_table, small_groups_tell_all_alike) {
    peer_table table;
    table.own_data_centre = "a";
    for (const char* host : {"1", "2", "3", "4"}) {
        heartbeat value = beat(1, 1);
        value.data_centre = "b";
        note(table, host, value, start);
    }
    cr_assert(near_period(table, base_period) == base_period);
    cr_assert(far_period(table, base_period) == base_period);
    cr_assert(life(table) == policy::peer_lifetime);
}

Test(peer_table, rare_heartbeats_do_not_make_an_instance_gone) {
    peer_table table = very_large_group();
    const auto quiet = start + 2 * far_period(table, base_period);
    cr_assert(expire(table, quiet).empty());
    cr_assert(expire(table, start + std::chrono::minutes(1)).size() == 389);
}
