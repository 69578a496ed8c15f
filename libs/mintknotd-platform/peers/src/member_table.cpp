#include <mintknot/peers/member_table.hpp>

#include <algorithm>
#include <set>

namespace mintknot::peers {

namespace {

using policy::group_role;
using policy::instance_info;

/// What is left of the usual number of members after a join_period. Half of it
/// is missed for some seconds when all members fall silent at once; a part of
/// them that dies is missed for one.
constexpr double usual_members_kept = 0.8;
constexpr double min_share_to_rank = 0.5;
/// Members of a roster that would be next. Leaves turn to them where all
/// super-peers of their data centre are gone.
constexpr std::size_t max_successors = 24;

using members_by_data_centre =
    std::map<std::string, std::vector<instance_info>>;

members_by_data_centre joined_by_data_centre(const member_table& table) {
    members_by_data_centre found;
    found[table.own.data_centre].push_back(table.own);
    for (const auto& [host, member] : table.joined)
        found[member.value.data_centre].push_back(member.value);
    return found;
}

std::vector<instance_info>
view_of(const member_table& table, const std::string& data_centre) {
    std::vector<instance_info> found;
    for (const instance_info& member : table.view.super_peers)
        if (member.data_centre == data_centre)
            found.push_back(member);
    return found;
}

std::vector<instance_info>
claimed(const member_table& table, const std::string& data_centre) {
    std::vector<instance_info> found;
    for (const auto& [host, claim] : table.super_peers)
        if (claim.value.data_centre == data_centre)
            found.push_back({host, data_centre, claim.value.capacity});
    return policy::rank_members(std::move(found));
}

std::set<std::string> data_centres(const member_table& table) {
    std::set<std::string> names = {table.own.data_centre};
    for (const auto& [host, member] : table.joined)
        names.insert(member.value.data_centre);
    for (const auto& [host, claim] : table.super_peers)
        names.insert(claim.value.data_centre);
    for (const instance_info& member : table.view.super_peers)
        names.insert(member.data_centre);
    return names;
}

/// While the group is taken for a flat one all ask at the seeds; then members
/// ask in their own data centre.
bool ranks_here(
    const member_table& table, const std::string& data_centre,
    base::steady_time now) {
    if (table.role == group_role::flat)
        return true;
    if (data_centre != table.own.data_centre)
        return false;
    const bool asked =
        table.registrar || now - table.confirmed_at > member_life;
    return asked && static_cast<double>(members_here(table)) >=
                        table.usual_members * min_share_to_rank;
}

/// Adds what is known of a data centre that is not ranked here.
void add_told(
    roster& result, const member_table& table, const std::string& data_centre,
    bool with_successors) {
    const bool own = data_centre == table.own.data_centre;
    std::vector<instance_info> found =
        own ? std::vector<instance_info>{} : claimed(table, data_centre);
    if (found.empty())
        found = view_of(table, data_centre);
    result.super_peers.insert(
        result.super_peers.end(), found.begin(), found.end());
    if (with_successors && own)
        result.successors = table.view.successors;
}

void add_ranked(
    roster& result, const std::vector<instance_info>& by_rank,
    std::size_t data_centre_count, bool with_successors) {
    const auto count = static_cast<std::ptrdiff_t>(
        policy::count_super_peers(by_rank, data_centre_count));
    result.super_peers.insert(
        result.super_peers.end(), by_rank.begin(), by_rank.begin() + count);
    if (!with_successors)
        return;
    const auto last = std::min(
        by_rank.size(), static_cast<std::size_t>(count) + max_successors);
    result.successors.assign(
        by_rank.begin() + count,
        by_rank.begin() + static_cast<std::ptrdiff_t>(last));
}

std::size_t known_instances(const member_table& table) {
    if (table.role == group_role::flat)
        return table.joined.size() + 1;
    std::map<std::string, std::size_t> sizes;
    for (const auto& [host, claim] : table.super_peers) {
        std::size_t& size = sizes[claim.value.data_centre];
        size = std::max(size, claim.value.members);
    }
    std::size_t& here = sizes[table.own.data_centre];
    here = std::max(here, members_here(table));
    std::size_t sum = 0;
    for (const auto& [data_centre, size] : sizes)
        sum += size;
    return sum;
}

bool names(const roster& value, const std::string& host) {
    return std::any_of(
        value.super_peers.begin(), value.super_peers.end(),
        [&](const instance_info& member) { return member.host == host; });
}

/// Until members have asked here themselves, those that the roster names count,
/// so that the first answers from here name the same super-peers.
void note_hearsay(
    member_table& table, const std::vector<instance_info>& near,
    base::steady_time now) {
    for (const instance_info& member : near)
        if (member.host != table.own.host)
            table.joined.try_emplace(
                member.host, known_member{member, now + hearsay_life});
}

} // namespace

void note_join(
    member_table& table, const std::string& host, const join_request& request,
    base::steady_time now) {
    if (request.leaving) {
        table.joined.erase(host);
        table.super_peers.erase(host);
        return;
    }
    known_member& known = table.joined[host];
    if (known.until == base::steady_time{})
        table.grown_at = now;
    known = {{host, request.data_centre, request.capacity}, now + member_life};
}

void note_claim(
    member_table& table, const std::string& host, const super_peer_claim& claim,
    base::steady_time now) {
    table.super_peers[host] = {claim, now};
}

void expire(member_table& table, base::steady_time now) {
    std::erase_if(table.joined, [now](const auto& item) {
        return item.second.until < now;
    });
    std::erase_if(table.super_peers, [now](const auto& item) {
        return now - item.second.heard > claim_life;
    });
    table.usual_members = std::max(
        static_cast<double>(members_here(table)),
        table.usual_members * usual_members_kept);
}

bool is_very_large(
    const member_table& table, std::size_t heard, std::size_t max_flat_group) {
    return table.role != group_role::flat ||
           std::max(heard, table.joined.size()) + 1 > max_flat_group;
}

std::size_t members_here(const member_table& table) {
    const auto near = std::count_if(
        table.joined.begin(), table.joined.end(), [&](const auto& item) {
            return item.second.value.data_centre == table.own.data_centre;
        });
    return static_cast<std::size_t>(near) + 1;
}

roster roster_for(
    const member_table& table, const std::string& data_centre,
    base::steady_time now) {
    const members_by_data_centre joined = joined_by_data_centre(table);
    const std::set<std::string> all = data_centres(table);
    roster result;
    for (const std::string& name : all) {
        const bool asked_for = name == data_centre;
        const auto found = joined.find(name);
        if (found != joined.end() && ranks_here(table, name, now))
            add_ranked(
                result, policy::rank_members(found->second), all.size(),
                asked_for);
        else
            add_told(result, table, name, asked_for);
    }
    if (!ranks_here(table, table.own.data_centre, now))
        result.age = std::chrono::duration_cast<base::milliseconds>(
            now - table.confirmed_at);
    result.instances = std::max(table.instances, known_instances(table));
    result.revision = revision_of(result);
    return result;
}

group_role take_roster(
    member_table& table, roster value, bool from_other, base::steady_time now) {
    table.view = std::move(value);
    table.instances = std::max(table.instances, table.view.instances);
    if (from_other || table.role == group_role::flat)
        table.confirmed_at = std::max(table.confirmed_at, now - table.view.age);
    const bool was_registrar = table.registrar;
    const std::vector<instance_info> near =
        members_in(table.view, table.own.data_centre);
    table.registrar = policy::is_registrar(near, table.own.host);
    if (table.registrar && !was_registrar)
        note_hearsay(table, near, now);
    const bool named = names(table.view, table.own.host);
    if (named)
        table.named_at = now;
    const bool keeps_part = table.role == group_role::super_peer &&
                            now - table.named_at < demotion_delay;
    table.role =
        named || keeps_part ? group_role::super_peer : group_role::leaf;
    return table.role;
}

} // namespace mintknot::peers
