#include <mintknot/peers/roster.hpp>

#include <mintknot/base/datagram.hpp>
#include <mintknot/peers/message_parts.hpp>

#include <algorithm>
#include <functional>
#include <map>

namespace mintknot::peers {

namespace {

using nlohmann::json;

/// First element of a message; other kinds have 1 to 11.
constexpr int join_format = 12;
constexpr int roster_format = 13;
constexpr int confirmation_format = 14;
constexpr int claim_format = 15;

json members_to_json(const std::vector<policy::instance_info>& members) {
    std::map<std::string, json> by_data_centre;
    for (const policy::instance_info& member : members)
        by_data_centre.try_emplace(member.data_centre, json::array())
            .first->second.push_back({member.host, member.capacity});
    json rows = json::array();
    for (const auto& [data_centre, hosts] : by_data_centre)
        rows.push_back({data_centre, hosts});
    return rows;
}

std::vector<policy::instance_info> members_from(const json& rows) {
    std::vector<policy::instance_info> members;
    for (const json& row : bounded(rows))
        for (const json& entry : bounded(row.at(1)))
            members.push_back(
                {entry.at(0).get<std::string>(), row.at(0).get<std::string>(),
                 base::number_from<int>(entry.at(1))});
    return members;
}

json to_json(const join_request& value) {
    return {
        join_format, value.data_centre, value.capacity, value.leaving,
        value.known};
}

json to_json(const roster& value) {
    return {
        roster_format,
        value.revision,
        value.instances,
        members_to_json(value.super_peers),
        members_to_json(value.successors),
        value.age.count()};
}

json to_json(const roster_confirmation& value) {
    return {
        confirmation_format, value.revision, value.instances,
        value.age.count()};
}

json to_json(const super_peer_claim& value) {
    return {claim_format, value.data_centre, value.capacity, value.members};
}

/// A negative age would make an old roster a new one.
base::milliseconds age_from(const json& value) {
    return std::max(base::milliseconds{0}, base::time_from(value));
}

roster_message message_from(const json& row) {
    switch (base::number_from<int>(row.at(0))) {
    case join_format:
        return join_request{
            row.at(1).get<std::string>(), base::number_from<int>(row.at(2)),
            row.at(3).get<bool>(), base::number_from<std::uint64_t>(row.at(4))};
    case roster_format:
        return roster{
            base::number_from<std::uint64_t>(row.at(1)),
            base::number_from<std::size_t>(row.at(2)), members_from(row.at(3)),
            members_from(row.at(4)), age_from(row.at(5))};
    case confirmation_format:
        return roster_confirmation{
            base::number_from<std::uint64_t>(row.at(1)),
            base::number_from<std::size_t>(row.at(2)), age_from(row.at(3))};
    default:
        return super_peer_claim{
            row.at(1).get<std::string>(), base::number_from<int>(row.at(2)),
            base::number_from<std::size_t>(row.at(3))};
    }
}

} // namespace

std::string encode(const roster_message& value) {
    return base::encode_datagram(
        std::visit([](const auto& known) { return to_json(known); }, value));
}

absl::StatusOr<roster_message>
decode_roster_message(std::string_view datagram) {
    return base::decode_datagram(
        datagram, {join_format, claim_format}, message_from);
}

std::uint64_t revision_of(const roster& value) {
    const std::string text = base::encode_datagram(
        {members_to_json(value.super_peers),
         members_to_json(value.successors)});
    return std::max<std::uint64_t>(1, std::hash<std::string>{}(text));
}

std::vector<policy::instance_info>
members_in(const roster& value, const std::string& data_centre) {
    std::vector<policy::instance_info> found;
    for (const auto* part : {&value.super_peers, &value.successors})
        for (const policy::instance_info& member : *part)
            if (member.data_centre == data_centre)
                found.push_back(member);
    return found;
}

} // namespace mintknot::peers
