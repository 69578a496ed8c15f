#include <mintknot/cluster/membership.hpp>

#include <criterion/criterion.h>

#include <deque>

using namespace mintknot;
using namespace mintknot::cluster;

namespace {

const base::steady_time start = base::steady_time{} + std::chrono::hours(1);

/// Instances that exchange heartbeats in memory, beat by beat.
struct small_cluster {
    void
    add(const std::string& data_centre, int number,
        const std::vector<base::address>& seeds) {
        membership state;
        state.self.id = {data_centre, "e" + std::to_string(number), 1};
        state.self.heartbeat = address_of(number);
        state.self.state = member_state::ready;
        state.options.seeds = seeds;
        nodes.push_back(std::move(state));
        down.push_back(false);
    }
    static base::address address_of(int number) {
        return {"127.0.0.1", static_cast<std::uint16_t>(number)};
    }
    void run(int beats) {
        for (int i = 0; i < beats; ++i) {
            now += std::chrono::milliseconds(500);
            for (std::size_t n = 0; n < nodes.size(); ++n)
                if (!down[n])
                    deliver(beat(nodes[n], {}, now));
        }
    }
    void deliver(const std::vector<outgoing>& datagrams) {
        for (const outgoing& datagram : datagrams)
            for (std::size_t n = 0; n < nodes.size(); ++n)
                if (!down[n] && nodes[n].self.heartbeat == datagram.where)
                    take_heartbeat(nodes[n], datagram.content, now);
        sent += datagrams.size();
    }
    std::size_t seen_by(std::size_t node) const {
        return live(nodes[node], now).size();
    }

    std::vector<membership> nodes;
    std::vector<bool> down;
    base::steady_time now = start;
    std::size_t sent = 0;
};

} // namespace

Test(membership, one_seed_is_enough_to_find_everyone) {
    small_cluster all;
    const std::vector seeds{small_cluster::address_of(1)};
    for (int i = 1; i <= 9; ++i)
        all.add("dc" + std::to_string((i - 1) / 3 + 1), i, seeds);
    all.run(40);
    for (std::size_t n = 0; n < 9; ++n)
        cr_assert_eq(all.seen_by(n), 9U, "%zu sees %zu", n, all.seen_by(n));
}

Test(membership, the_silent_are_gone_after_a_while) {
    small_cluster all;
    for (int i = 1; i <= 3; ++i)
        all.add("dc1", i, {small_cluster::address_of(1)});
    all.run(10);
    all.down[2] = true;
    all.run(4);
    cr_assert_eq(all.seen_by(0), 3U);
    all.run(6);
    cr_assert_eq(all.seen_by(0), 2U);
    cr_assert(!is_alive(all.nodes[0], {"dc1", "e3", 1}, all.now));
}

Test(membership, a_healed_cut_is_found_without_seeds) {
    small_cluster all;
    for (int i = 1; i <= 3; ++i)
        all.add("dc1", i, {small_cluster::address_of(1)});
    all.run(10);
    for (membership& node : all.nodes)
        node.options.seeds.clear();
    all.down[2] = true;
    all.run(20);
    cr_assert_eq(all.seen_by(0), 2U);
    all.down[2] = false;
    all.run(10);
    cr_assert_eq(all.seen_by(0), 3U);
    cr_assert_eq(all.seen_by(2), 3U);
}

Test(membership, a_newer_incarnation_replaces_the_older) {
    membership state;
    state.self.id = {"dc1", "e1", 1};
    heartbeat beat_of_2;
    beat_of_2.sender.id = {"dc1", "e2", 5};
    take_heartbeat(state, beat_of_2, start);
    cr_assert(is_alive(state, {"dc1", "e2", 5}, start));
    beat_of_2.sender.id.incarnation = 4;
    take_heartbeat(state, beat_of_2, start);
    cr_assert(!is_alive(state, {"dc1", "e2", 4}, start));
    beat_of_2.sender.id.incarnation = 6;
    take_heartbeat(state, beat_of_2, start);
    cr_assert(is_alive(state, {"dc1", "e2", 6}, start));
    cr_assert(!is_alive(state, {"dc1", "e2", 5}, start));
}

Test(membership, datagrams_between_data_centres_do_not_grow_with_the_square) {
    small_cluster all;
    const std::vector seeds{small_cluster::address_of(1)};
    for (int i = 1; i <= 60; ++i)
        all.add("dc" + std::to_string(i % 4), i, seeds);
    all.run(60);
    cr_assert_eq(all.seen_by(17), 60U);
    all.sent = 0;
    all.run(4);
    // Inside: 60 * 14 a beat, some split; digests and relays are few.
    cr_assert(all.sent < 4 * 60 * 14 * 2, "%zu", all.sent);
}

Test(membership, a_change_of_state_is_told_everywhere_at_once) {
    small_cluster all;
    for (int i = 1; i <= 9; ++i)
        all.add(
            "dc" + std::to_string((i - 1) / 3 + 1), i,
            {small_cluster::address_of(1)});
    all.run(41);
    all.nodes[4].self.state = member_state::leaving;
    all.nodes[4].announce = true;
    // One beat to tell a member of each data centre, one to pass it on there.
    all.run(2);
    for (std::size_t n = 0; n < 9; ++n)
        for (const member& item : live(all.nodes[n], all.now))
            cr_assert(
                item.id.name != "e5" || item.state == member_state::leaving,
                "%zu", n);
}

Test(membership, ready_instances_of_the_data_centre_come_first) {
    std::vector<member> members(3);
    members[0].id = {"dc1", "a", 1};
    members[1].id = {"dc1", "b", 1};
    members[1].state = member_state::ready;
    members[2].id = {"dc2", "c", 1};
    members[2].state = member_state::ready;
    cr_assert(ready_names(members, "dc1") == std::vector<std::string>{"dc1.b"});
    cr_assert_eq(ready_names(members, "dc3").size(), 2U);
}
