#include "overload_sharing.hpp"

#include <mintknot/base/datagram.hpp>

#include <algorithm>

namespace mintknot::runtime {

namespace {

using nlohmann::json;

/// First element of a message.
constexpr int notice_format = 29;
constexpr base::milliseconds notice_interval{1000};
/// Two notices in a row may be lost.
constexpr base::milliseconds notice_lifetime{2500};

overload_notice notice_from(const json& row) {
    return {std::clamp(
        base::time_from(row.at(1)), base::milliseconds{0}, notice_lifetime)};
}

} // namespace

std::string encode(const overload_notice& value) {
    return base::encode_datagram({notice_format, value.lifetime.count()});
}

absl::StatusOr<overload_notice>
decode_overload_notice(std::string_view datagram) {
    return base::decode_datagram(
        datagram, {notice_format, notice_format}, notice_from);
}

overload_sharing::overload_sharing(event::loop& owner, overload_ports ports)
    : owner_(owner)
    , ports_(std::move(ports))
    , timer_(owner) {}

void overload_sharing::set_overloaded(bool overloaded) {
    if (overloaded) {
        tell_again();
        return;
    }
    timer_.stop();
    tell(base::milliseconds{0});
}

void overload_sharing::tell_again() {
    tell(notice_lifetime);
    timer_.start(notice_interval, [this] { tell_again(); });
}

void overload_sharing::tell(base::milliseconds lifetime) {
    const std::string datagram = encode(overload_notice{lifetime});
    for (const std::string& host : ports_.neighbours())
        ports_.send(host, datagram);
}

bool overload_sharing::receive(
    const std::string& host, std::string_view datagram) {
    const auto notice = decode_overload_notice(datagram);
    if (!notice.ok())
        return false;
    const base::steady_time now = owner_.now();
    std::erase_if(overloaded_until_, [now](const auto& entry) {
        return entry.second <= now;
    });
    if (notice->lifetime > base::milliseconds{0})
        overloaded_until_[host] = now + notice->lifetime;
    else
        overloaded_until_.erase(host);
    return true;
}

policy::peer_load overload_sharing::neighbours() const {
    const std::vector<std::string> hosts = ports_.neighbours();
    const base::steady_time now = owner_.now();
    const auto overloaded = std::count_if(
        hosts.begin(), hosts.end(), [this, now](const std::string& host) {
            const auto found = overloaded_until_.find(host);
            return found != overloaded_until_.end() && found->second > now;
        });
    return {hosts.size(), static_cast<std::size_t>(overloaded)};
}

} // namespace mintknot::runtime
