#include <mintknot/peers/member_table.hpp>

#include <criterion/criterion.h>

#include <algorithm>

using namespace mintknot;
using namespace mintknot::peers;
using policy::group_role;

namespace {

constexpr int strong = 9;
constexpr int weak = 6;

/// A group whose members ask and answer, one table each, in virtual time.
struct group_play {
    explicit group_play(int size, int data_centres = 5) {
        for (int i = 0; i < size; ++i) {
            const std::string host = "h" + std::to_string(i);
            member_table& table = tables[host];
            table.own = {
                host, "dc" + std::to_string(i % data_centres),
                i < size / 20 ? strong : weak};
        }
    }

    /// All have asked a seed, which tells them its roster.
    void start_together() {
        member_table& seed = tables.at("h0");
        for (const auto& [host, table] : tables)
            if (host != "h0")
                ask(host, seed);
        for (auto& [host, table] : tables)
            take_roster(
                table, roster_for(seed, table.own.data_centre, now),
                host != "h0", now);
    }

    void ask(const std::string& host, member_table& at) {
        const member_table& asker = tables.at(host);
        note_join(
            at, host, {asker.own.data_centre, asker.own.capacity, false, 0},
            now);
        ++asked[at.own.host];
    }

    /// One join_period of all members that live.
    void period() {
        now += join_period;
        for (auto& [host, table] : tables)
            expire(table, now);
        for (auto& [host, table] : tables) {
            if (table.registrar)
                take_roster(
                    table, roster_for(table, table.own.data_centre, now), false,
                    now);
            for (const std::string& registrar : policy::registrars_to_ask(
                     members_in(table.view, table.own.data_centre), host, dead))
                exchange(host, registrar);
        }
        for (const auto& [host, table] : tables)
            if (table.role == group_role::super_peer)
                for (auto& [other, heard] : tables)
                    note_claim(
                        heard, host,
                        {table.own.data_centre, table.own.capacity,
                         members_here(table)},
                        now);
    }

    void exchange(const std::string& host, const std::string& registrar) {
        if (!reaches(host, registrar))
            return;
        ask(host, tables.at(registrar));
        member_table& table = tables.at(host);
        take_roster(
            table, roster_for(tables.at(registrar), table.own.data_centre, now),
            true, now);
    }

    bool reaches(const std::string& host, const std::string& other) const {
        return tables.contains(other) && (host == cut) == (other == cut);
    }

    void kill(const std::string& host) {
        tables.erase(host);
        dead.push_back(host);
    }

    std::vector<std::string> with_role(group_role role) const {
        std::vector<std::string> hosts;
        for (const auto& [host, table] : tables)
            if (table.role == role)
                hosts.push_back(host);
        return hosts;
    }

    /// @return true if all members of a data centre name the same super-peers,
    /// and these think so, too.
    bool agrees() const {
        for (const auto& [host, table] : tables)
            for (const policy::instance_info& member : table.view.super_peers)
                if (member.data_centre == table.own.data_centre &&
                    (!tables.contains(member.host) ||
                     tables.at(member.host).role != group_role::super_peer))
                    return false;
        return true;
    }

    base::steady_time now = base::steady_time{} + base::milliseconds{100000};
    std::map<std::string, member_table> tables;
    std::map<std::string, int> asked; ///< Requests by the host that got them.
    std::vector<std::string> dead;    ///< Known to be silent.
    std::string cut;                  ///< Cut off from all others.
};

} // namespace

Test(member_table, all_follow_the_same_super_peers_from_the_start) {
    for (const int size : {30, 100, 300, 1000}) {
        group_play group(size);
        group.start_together();
        cr_assert(group.agrees(), "%d members", size);
        const auto first = group.with_role(group_role::super_peer);
        for (int i = 0; i < 2; ++i)
            group.period();
        cr_assert(group.agrees(), "%d members, later", size);
        cr_assert(group.with_role(group_role::super_peer) == first);
        cr_assert(first.size() <= 60, "%zu super-peers", first.size());
        for (const auto& [host, table] : group.tables)
            cr_assert(
                table.instances == static_cast<std::size_t>(size), "%zu of %d",
                table.instances, size);
    }
}

Test(member_table, a_leaf_is_asked_by_nobody_and_asks_three) {
    for (const int size : {300, 1000}) {
        group_play group(size);
        group.start_together();
        group.asked.clear();
        group.period();
        int sum = 0;
        for (const auto& [host, count] : group.asked) {
            cr_assert(group.tables.at(host).registrar);
            sum += count;
        }
        cr_assert(sum <= 3 * size);
    }
}

Test(member_table, a_dead_super_peer_is_replaced) {
    group_play group(300);
    group.start_together();
    for (int i = 0; i < 3; ++i)
        group.period();
    const auto before = group.with_role(group_role::super_peer);
    group.kill(before.front());
    for (int i = 0; i < 5; ++i)
        group.period();
    cr_assert(group.agrees());
    cr_assert(group.with_role(group_role::super_peer).size() == before.size());
}

Test(member_table, a_data_centre_that_loses_all_super_peers_finds_others) {
    group_play group(500);
    group.start_together();
    for (int i = 0; i < 3; ++i)
        group.period();
    for (const std::string& host : group.with_role(group_role::super_peer))
        if (group.tables.at(host).own.data_centre == "dc1")
            group.kill(host);
    for (int i = 0; i < 8; ++i)
        group.period();
    cr_assert(group.agrees());
    const auto super_peers = group.with_role(group_role::super_peer);
    const auto here = std::count_if(
        super_peers.begin(), super_peers.end(), [&](const std::string& host) {
            return group.tables.at(host).own.data_centre == "dc1";
        });
    cr_assert(here >= 3, "%ld", here);
    cr_assert(super_peers.size() <= 80, "%zu", super_peers.size());
}

Test(member_table, one_that_was_cut_off_does_not_name_others) {
    group_play group(300);
    group.start_together();
    for (int i = 0; i < 3; ++i)
        group.period();
    const auto before = group.with_role(group_role::super_peer);
    group.cut = "h0";
    cr_assert(group.tables.at("h0").registrar);
    for (int i = 0; i < 4; ++i)
        group.period();
    group.cut.clear();
    for (int i = 0; i < 3; ++i)
        group.period();
    cr_assert(group.agrees());
    const auto after = group.with_role(group_role::super_peer);
    cr_assert(after.size() <= before.size() + 2, "%zu", after.size());
}

Test(member_table, whoever_is_named_no_more_keeps_its_part_for_a_while) {
    member_table table;
    table.own = {"h", "a", weak};
    const base::steady_time now{base::milliseconds{100000}};
    const roster with{1, 500, {{"h", "a", weak}}, {}, {}};
    const roster without{2, 500, {{"g", "a", strong}}, {}, {}};
    cr_assert(take_roster(table, with, true, now) == group_role::super_peer);
    cr_assert(
        take_roster(table, without, true, now + demotion_delay / 2) ==
        group_role::super_peer);
    cr_assert(
        take_roster(table, without, true, now + demotion_delay) ==
        group_role::leaf);
}

Test(member_table, a_member_that_leaves_is_forgotten_at_once) {
    member_table table;
    table.own = {"h", "a", weak};
    const base::steady_time now{base::milliseconds{100000}};
    note_join(table, "g", {"a", weak, false, 0}, now);
    cr_assert(members_here(table) == 2);
    note_join(table, "g", {"a", weak, true, 0}, now);
    cr_assert(members_here(table) == 1);
    note_join(table, "g", {"a", weak, false, 0}, now);
    expire(table, now + member_life + base::milliseconds{1});
    cr_assert(members_here(table) == 1);
}
