#include <mintknot/peers/roster.hpp>

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
                 entry.at(1).get<int>()});
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
    return base::milliseconds(
        std::max<std::int64_t>(0, value.get<std::int64_t>()));
}

roster_message message_from(const json& row) {
    switch (row.at(0).get<int>()) {
    case join_format:
        return join_request{
            row.at(1).get<std::string>(), row.at(2).get<int>(),
            row.at(3).get<bool>(), row.at(4).get<std::uint64_t>()};
    case roster_format:
        return roster{
            row.at(1).get<std::uint64_t>(), row.at(2).get<std::size_t>(),
            members_from(row.at(3)), members_from(row.at(4)),
            age_from(row.at(5))};
    case confirmation_format:
        return roster_confirmation{
            row.at(1).get<std::uint64_t>(), row.at(2).get<std::size_t>(),
            age_from(row.at(3))};
    default:
        return super_peer_claim{
            row.at(1).get<std::string>(), row.at(2).get<int>(),
            row.at(3).get<std::size_t>()};
    }
}

bool is_format_of_roster(int format) {
    return format >= join_format && format <= claim_format;
}

/// The first element is a small number right behind the array's own byte: most
/// datagrams are others, and not to be parsed twice.
bool may_be_roster_message(std::string_view datagram) {
    return datagram.size() >= 2 && is_format_of_roster(datagram[1]);
}

std::string packed(const json& row) {
    const std::vector<std::uint8_t> bytes = json::to_msgpack(row);
    return {bytes.begin(), bytes.end()};
}

} // namespace

std::string encode(const roster_message& value) {
    return packed(
        std::visit([](const auto& known) { return to_json(known); }, value));
}

absl::StatusOr<roster_message>
decode_roster_message(std::string_view datagram) {
    const auto wrong =
        absl::InvalidArgumentError("no message about the group's members");
    if (!may_be_roster_message(datagram))
        return wrong;
    const json row =
        json::from_msgpack(datagram.begin(), datagram.end(), true, false);
    if (!row.is_array() || row.empty() || !row[0].is_number_integer() ||
        !is_format_of_roster(row[0].get<int>()))
        return wrong;
    try {
        return message_from(row);
    } catch (const json::exception&) {
        return absl::InvalidArgumentError("a field has a wrong type");
    }
}

std::uint64_t revision_of(const roster& value) {
    const std::string text = packed(
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
