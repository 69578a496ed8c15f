#include <mintknot/policy/stream_origin.hpp>

#include <mintknot/base/rendezvous.hpp>
#include <mintknot/base/sha256.hpp>

#include <algorithm>
#include <map>

namespace mintknot::policy {

namespace {

constexpr std::size_t key_digits = 32;
/// A silent instance has answered by then, or is known to be gone.
constexpr base::milliseconds unanswered_retry_after{300};
/// Nothing more will be known: longer than callers usually stay.
constexpr base::milliseconds unknown_retry_after{10000};

void drop_expired(origin_table& table, base::steady_time now) {
    while (!table.by_age.empty()) {
        const auto oldest = table.by_stream.find(table.by_age.front());
        if (oldest->second.until > now)
            return;
        table.by_stream.erase(oldest);
        table.by_age.pop_front();
    }
}

void make_room(origin_table& table) {
    if (table.by_age.size() < max_origins)
        return;
    table.by_stream.erase(table.by_age.front());
    table.by_age.pop_front();
    ++table.evicted;
}

/// @return the hosts of each data centre in the order for a stream, the data
/// centres in theirs.
std::vector<std::vector<std::string>> ranked_by_data_centre(
    const std::string& stream, const std::vector<instance_location>& instances,
    std::size_t count) {
    std::map<std::string, std::vector<std::string>> hosts;
    std::vector<std::string> data_centres;
    for (const instance_location& instance : instances) {
        std::vector<std::string>& local = hosts[instance.data_centre];
        if (local.empty())
            data_centres.push_back(instance.data_centre);
        local.push_back(instance.host);
    }
    std::vector<std::vector<std::string>> ranked;
    for (const std::string& data_centre :
         base::rendezvous_first(stream, data_centres, data_centres.size()))
        ranked.push_back(
            base::rendezvous_first(stream, hosts[data_centre], count));
    return ranked;
}

} // namespace

bool is_same_version(std::string_view left, std::string_view right) {
    return !left.empty() && left == right;
}

std::string
stream_key(std::string_view organisation, std::string_view request_id) {
    std::string text = std::to_string(organisation.size());
    text += ':';
    text += organisation;
    text += request_id;
    return base::sha256_hex(text).substr(0, key_digits);
}

void note_origin(
    origin_table& table, const std::string& stream, const std::string& version,
    base::milliseconds life, base::steady_time now) {
    drop_expired(table, now);
    const auto known = table.by_stream.find(stream);
    if (known == table.by_stream.end()) {
        make_room(table);
        table.by_stream[stream] = {version, now, now + life};
        table.by_age.push_back(stream);
        return;
    }
    stream_origin& origin = known->second;
    if (origin.until > now && origin.version != version)
        origin.version.clear();
    else
        origin.version = version;
    origin.until = std::max(origin.until, now + life);
}

const stream_origin* find_origin(
    const origin_table& table, const std::string& stream,
    base::steady_time now) {
    const auto found = table.by_stream.find(stream);
    const bool known = found != table.by_stream.end() &&
                       found->second.until > now &&
                       !found->second.version.empty();
    return known ? &found->second : nullptr;
}

std::vector<std::string> origin_hosts(
    const std::string& stream, const std::vector<instance_location>& instances,
    std::size_t count) {
    const auto ranked = ranked_by_data_centre(stream, instances, count);
    std::vector<std::string> chosen;
    for (std::size_t rank = 0; rank < count; ++rank)
        for (const std::vector<std::string>& hosts : ranked)
            if (rank < hosts.size() && chosen.size() < count)
                chosen.push_back(hosts[rank]);
    return chosen;
}

std::string_view to_string(origin_verdict value) noexcept {
    switch (value) {
    case origin_verdict::known:
        return "known";
    case origin_verdict::only_version:
        return "only_version";
    case origin_verdict::unknown:
        return "version_unknown";
    case origin_verdict::unanswered:
        return "version_unanswered";
    }
    return "";
}

void note_only_version(origin_answers& answers, const std::string& version) {
    if (answers.only_version && *answers.only_version != version)
        answers.versions_differ = true;
    answers.only_version = version;
}

origin_decision decide_origin(const origin_answers& answers) {
    if (answers.version)
        return {origin_verdict::known, *answers.version};
    if (answers.only_version && !answers.versions_differ)
        return {origin_verdict::only_version, *answers.only_version};
    if (answers.silent > 0 || answers.group_unknown)
        return {origin_verdict::unanswered, {}, unanswered_retry_after};
    return {origin_verdict::unknown, {}, unknown_retry_after};
}

} // namespace mintknot::policy
