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
    cr_assert(!contains(recipients(table, true), "me"));
    cr_assert(contains(recipients(table, true), "other"));
    cr_assert(contains(recipients(table, true), "seed"));
    cr_assert(recipients(table, false).size() == 1);
}

Test(peer_table, silent_instances_expire_and_are_still_sought_for_a_while) {
    peer_table table;
    note(table, "a", beat(1, 1), start);
    cr_assert(expire(table, start + peer_life).empty());
    const auto later = start + peer_life + base::milliseconds(1);
    cr_assert(expire(table, later) == std::vector<std::string>{"a"});
    cr_assert(contains(recipients(table, true), "a"));
    expire(table, start + candidate_life + std::chrono::seconds(1));
    cr_assert(!contains(recipients(table, true), "a"));
    cr_assert(instances(table) == 2);
}
