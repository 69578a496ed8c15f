#include <mintknot/scheduling/messages.hpp>

#include "load_report_message.hpp"
#include "message_numbers.hpp"
#include "outlook_message.hpp"

#include <mintknot/base/datagram.hpp>
#include <mintknot/http1/message.hpp>
#include <mintknot/peers/message_parts.hpp>

#include <algorithm>
#include <optional>

namespace mintknot::scheduling {

namespace {

using nlohmann::json;

/// Message type, the first element of each message. Heartbeats use 1.
constexpr int request_format = 2;
constexpr int answer_format = 3;
/// Indexes of elements that newer senders add: to a request if the sender holds
/// no rows of servers or has open connections, and to its answer.
constexpr std::size_t wants_server_rows_element = 12;
constexpr std::size_t connected_element = 13;
constexpr std::size_t servers_element = 10;
/// Indexes of elements that are sent only while capacity is shared: the claim
/// of a request and, in its answer, why it was denied.
constexpr std::size_t claim_element = 14;
constexpr std::size_t denial_element = 11;
/// Index, within the denial, of the first element that plain calls add.
constexpr std::size_t calls_ahead_element = 2;
/// The memory profile of a stream and, in the answer, the forecast of the
/// engine; only for services with large events.
constexpr std::size_t profile_element = 15;
constexpr std::size_t outlook_element = 12;
/// Index, within a server's row, of its version; newer senders add it.
constexpr std::size_t version_element = 9;
/// Begins the entry of the excluded servers that names the version which all
/// servers must have. An instance of an earlier build takes it for a server
/// that it does not know; whoever asked it checks the version of its choice.
constexpr std::string_view version_mark = "version:";
/// Bits of the last element of a claim.
constexpr unsigned caller_retry_flag = 1;
constexpr unsigned waiting_flag = 2;
constexpr unsigned begun_flag = 4;

json to_json(const policy::excluded_servers& servers) {
    json rows = json::array();
    for (const std::string& id : servers)
        rows.push_back(id);
    return rows;
}

/// @return the decode engines that a query excludes, and its version.
json excluded_to_json(const policy::placement_query& query) {
    json rows = to_json(query.excluded);
    if (query.version)
        rows.push_back(std::string(version_mark) + *query.version);
    return rows;
}

/// Takes the version out of the excluded servers.
void read_version(policy::placement_query& query) {
    const auto mark = query.excluded.lower_bound(std::string(version_mark));
    if (mark == query.excluded.end() || !mark->starts_with(version_mark))
        return;
    query.version = mark->substr(version_mark.size());
    query.excluded.erase(mark);
}

policy::excluded_servers servers_from(const json& rows) {
    policy::excluded_servers servers;
    for (const json& row : peers::bounded(rows))
        servers.insert(row.get<std::string>());
    return servers;
}

json to_json(const policy::capacity_claim& claim) {
    const unsigned flags = (claim.caller_retry ? caller_retry_flag : 0U) |
                           (claim.waiting ? waiting_flag : 0U) |
                           (claim.begun ? begun_flag : 0U);
    return {
        claim.priority,
        claim.organisation,
        claim.target_left.count(),
        claim.deadline_left.count(),
        claim.digest,
        flags};
}

policy::capacity_claim claim_from(const json& row) {
    policy::capacity_claim claim;
    claim.priority = base::number_from<int>(row.at(0));
    claim.organisation = row.at(1).get<std::string>();
    claim.target_left = base::time_from(row.at(2));
    claim.deadline_left = base::time_from(row.at(3));
    claim.digest = base::number_from<std::uint64_t>(row.at(4));
    const auto flags = base::number_from<unsigned>(row.at(5));
    claim.caller_retry = (flags & caller_retry_flag) != 0;
    claim.waiting = (flags & waiting_flag) != 0;
    claim.begun = (flags & begun_flag) != 0;
    return claim;
}

json to_json(const placement_request& value) {
    const policy::placement_query& query = value.query;
    json row = {
        request_format,
        value.number,
        value.data_centre,
        query.service,
        static_cast<int>(query.kind),
        whole(query.prompt_tokens),
        whole(query.memory_tokens),
        query.max_prefill_time.count(),
        query.may_reuse_excluded,
        excluded_to_json(query),
        to_json(query.excluded_prefill),
        query.data_centre};
    if (value.wants_server_rows || !query.connected.empty() || query.claim)
        row.push_back(value.wants_server_rows);
    if (!query.connected.empty() || query.claim)
        row.push_back(to_json(query.connected));
    if (query.claim)
        row.push_back(to_json(*query.claim));
    if (query.claim && query.profile)
        row.push_back(peers::profile_to_json(*query.profile));
    return row;
}

placement_request request_from(const json& row) {
    placement_request value;
    value.number = base::number_from<std::uint64_t>(row.at(1));
    value.data_centre = row.at(2).get<std::string>();
    value.query.service = row.at(3).get<std::string>();
    const int kind = base::number_from<int>(row.at(4));
    if (kind < static_cast<int>(policy::placement_kind::plain) ||
        kind > static_cast<int>(policy::placement_kind::prefill_and_decode))
        base::throw_malformed("unknown kind", row);
    value.query.kind = static_cast<policy::placement_kind>(kind);
    value.query.prompt_tokens = number(row.at(5));
    value.query.memory_tokens = number(row.at(6));
    value.query.max_prefill_time = base::time_from(row.at(7));
    value.query.may_reuse_excluded = row.at(8).get<bool>();
    value.query.excluded = servers_from(row.at(9));
    read_version(value.query);
    value.query.excluded_prefill = servers_from(row.at(10));
    value.query.data_centre = row.at(11).get<std::string>();
    if (row.size() > wants_server_rows_element)
        value.wants_server_rows = row[wants_server_rows_element].get<bool>();
    if (row.size() > connected_element)
        value.query.connected = servers_from(row[connected_element]);
    if (row.size() > claim_element)
        value.query.claim = claim_from(row[claim_element]);
    if (row.size() > profile_element) {
        value.query.profile = peers::profile_from(row[profile_element]);
        value.query.profile->covered = value.query.memory_tokens;
    }
    return value;
}

/// The wait in milliseconds, null if it cannot be forecast, and the release
/// rate in thousandths of a token per millisecond.
json to_json(const policy::capacity_forecast& value) {
    const json wait = value.wait ? json(value.wait->count()) : json(nullptr);
    return {wait, whole(value.release_rate * rate_unit)};
}

policy::capacity_forecast forecast_from(const json& row) {
    policy::capacity_forecast value;
    if (!row.at(0).is_null())
        value.wait = base::time_from(row.at(0));
    value.release_rate = number(row.at(1)) / rate_unit;
    return value;
}

json to_json(const traffic::versioned_server& versioned) {
    const traffic::server& server = versioned.value;
    return {server.id,         versioned.version,
            server.service,    server.where.host,
            server.where.port, server.data_centre,
            server.slots,      static_cast<int>(server.phase),
            server.born,       server.version};
}

traffic::versioned_server server_from(const json& row) {
    traffic::versioned_server versioned;
    traffic::server& server = versioned.value;
    server.id = row.at(0).get<std::string>();
    if (!http1::is_field_text(server.id))
        base::throw_malformed("an ID with control characters", row);
    versioned.version = base::number_from<std::uint64_t>(row.at(1));
    server.service = row.at(2).get<std::string>();
    server.where = {
        row.at(3).get<std::string>(),
        base::number_from<std::uint16_t>(row.at(4))};
    server.data_centre = row.at(5).get<std::string>();
    server.slots = base::number_from<int>(row.at(6));
    const int phase = base::number_from<int>(row.at(7));
    if (phase < 0 || phase > static_cast<int>(traffic::engine_phase::decode))
        base::throw_malformed("unknown phase", row);
    server.phase = static_cast<traffic::engine_phase>(phase);
    server.born = base::number_from<std::uint64_t>(row.at(8));
    if (row.size() > version_element)
        server.version = row[version_element].get<std::string>();
    return versioned;
}

json to_json(const std::optional<base::milliseconds>& time) {
    return time ? json(time->count()) : json(nullptr);
}

std::optional<base::milliseconds> time_from(const json& value) {
    if (value.is_null())
        return std::nullopt;
    return base::time_from(value);
}

/// The denial and the wait; of a plain call also what was expected.
json denial_to_json(const policy::placement& placed) {
    json row = {static_cast<int>(placed.denial), to_json(placed.expected_wait)};
    if (!placed.plain)
        return row;
    row.push_back(placed.plain->calls_ahead);
    row.push_back(placed.plain->service.count());
    row.push_back(to_json(placed.plain->service_age));
    return row;
}

policy::plain_forecast plain_forecast_from(const json& row) {
    policy::plain_forecast value;
    value.calls_ahead =
        std::max(0, base::number_from<int>(row.at(calls_ahead_element)));
    value.service = base::time_from(row.at(calls_ahead_element + 1));
    value.service_age = time_from(row.at(calls_ahead_element + 2));
    return value;
}

void read_denial(const json& row, policy::placement& placed) {
    const int denial = base::number_from<int>(row.at(0));
    // A newer scheduler may have further reasons.
    placed.denial =
        denial >= 0 &&
                denial <= static_cast<int>(
                              policy::capacity_denial::reserved_for_priority)
            ? static_cast<policy::capacity_denial>(denial)
            : policy::capacity_denial::no_capacity;
    placed.expected_wait = time_from(row.at(1));
    if (row.size() > calls_ahead_element)
        placed.plain = plain_forecast_from(row);
}

json to_json(const placement_answer& value) {
    json row = {
        answer_format,
        value.number,
        value.knows_service,
        value.placed.server,
        value.placed.prefill,
        whole(value.placed.tokens_ahead),
        value.placed.capacity.engines,
        value.placed.capacity.avoided,
        whole(value.placed.capacity.max_free_tokens),
        to_json(value.placed.capacity.forecast)};
    const bool decided = value.placed.denial != policy::capacity_denial::none ||
                         value.placed.plain;
    const bool has_outlook = value.placed.outlook.has_value();
    if (value.servers.empty() && !decided && !has_outlook)
        return row;
    json servers = json::array();
    for (const traffic::versioned_server& versioned : value.servers)
        servers.push_back(to_json(versioned));
    row.push_back(std::move(servers));
    if (decided || has_outlook)
        row.push_back(denial_to_json(value.placed));
    if (has_outlook)
        row.push_back(outlook_to_json(*value.placed.outlook));
    return row;
}

placement_answer answer_from(const json& row) {
    placement_answer value;
    value.number = base::number_from<std::uint64_t>(row.at(1));
    value.knows_service = row.at(2).get<bool>();
    value.placed.server = row.at(3).get<std::string>();
    value.placed.prefill = row.at(4).get<std::string>();
    value.placed.tokens_ahead = number(row.at(5));
    value.placed.capacity.engines = base::number_from<int>(row.at(6));
    value.placed.capacity.avoided = base::number_from<int>(row.at(7));
    value.placed.capacity.max_free_tokens = number(row.at(8));
    value.placed.capacity.forecast = forecast_from(row.at(9));
    if (row.size() > servers_element)
        for (const json& entry : peers::bounded(row[servers_element]))
            value.servers.push_back(server_from(entry));
    if (row.size() > denial_element)
        read_denial(row[denial_element], value.placed);
    if (row.size() > outlook_element)
        value.placed.outlook = outlook_from(row[outlook_element]);
    return value;
}

json to_json(const load_report& value) {
    return load_report_to_json(value);
}

message message_from(const json& row) {
    switch (base::number_from<int>(row.at(0))) {
    case request_format:
        return request_from(row);
    case answer_format:
        return answer_from(row);
    default:
        return load_report_from(row);
    }
}

} // namespace

std::string encode(const message& value) {
    return base::encode_datagram(
        std::visit([](const auto& known) { return to_json(known); }, value));
}

absl::StatusOr<message> decode(std::string_view datagram) {
    return base::decode_datagram(
        datagram, {request_format, load_report_format}, message_from);
}

} // namespace mintknot::scheduling
