#include <mintknot/policy/version_history.hpp>

#include <algorithm>

namespace mintknot::policy {

namespace {

/// Longest time between two confirmations of a view that counts as complete: a
/// server lives for longer.
constexpr base::milliseconds max_confirmation_gap{3000};
/// Servers write their rows again within that time of the store's return.
constexpr base::milliseconds row_return_time{2000};
/// Versions that are gone and no longer matter are forgotten after this time.
constexpr base::milliseconds version_lifetime{15 * 60 * 1000};

void drop_old(
    std::map<std::string, known_version>& versions, base::steady_time now) {
    std::erase_if(versions, [now](const auto& entry) {
        return entry.second.servers == 0 &&
               entry.second.last_seen + version_lifetime <= now;
    });
}

} // namespace

void note_server_change(
    version_history& history, const traffic::server* before,
    const traffic::server* after, base::steady_time now) {
    if (before != nullptr) {
        known_version& known =
            history.versions[before->service][before->version];
        known.last_seen = now;
        if (known.servers > 0)
            --known.servers;
    }
    if (after == nullptr)
        return;
    auto& versions = history.versions[after->service];
    ++versions[after->version].servers;
    drop_old(versions, now);
}

void note_complete_view(version_history& history, base::steady_time now) {
    const bool gap = now - history.confirmed > max_confirmation_gap;
    if (!history.complete_since || gap)
        history.complete_since = now;
    if (now - history.confirmed > history.max_row_age)
        history.current_since = now;
    history.confirmed = now;
}

bool are_rows_current(const version_history& history, base::steady_time now) {
    return now - history.confirmed <= history.max_row_age &&
           history.current_since + row_return_time <= now;
}

base::milliseconds longest_stream(const traffic::configuration& config) {
    base::milliseconds longest{0};
    for (const traffic::route& route : config.routes)
        if (route.kind == traffic::route_kind::streaming)
            longest = std::max(longest, route.timeout);
    return longest;
}

std::optional<std::string> only_version(
    const version_history& history, const std::string& service,
    base::milliseconds window, base::steady_time now) {
    const bool complete = history.complete_since &&
                          *history.complete_since + window <= now &&
                          now - history.confirmed <= max_confirmation_gap;
    const auto versions = history.versions.find(service);
    if (!complete || versions == history.versions.end())
        return std::nullopt;
    std::optional<std::string> only;
    for (const auto& [version, known] : versions->second) {
        if (known.servers == 0 && known.last_seen + window <= now)
            continue;
        if (only || version.empty())
            return std::nullopt;
        only = version;
    }
    return only;
}

} // namespace mintknot::policy
