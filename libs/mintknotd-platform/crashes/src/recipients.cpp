#include "recipients.hpp"

#include <mintknot/base/random.hpp>

namespace mintknot::crashes {

namespace {

/// Recipients of send_to_some(): this many peers, and one in leaf_fraction of
/// the leaves.
constexpr std::size_t peers_per_round = 4;
constexpr std::size_t leaf_fraction = 4;

} // namespace

void send_to_hosts(
    const crash_watch_callbacks& callbacks,
    const std::vector<std::string>& hosts, const std::string& datagram) {
    for (const std::string& host : hosts)
        if (host != callbacks.own_host)
            callbacks.send(host, datagram);
}

void send_to_everybody(
    const crash_watch_callbacks& callbacks, const std::string& datagram) {
    send_to_hosts(callbacks, callbacks.peers(), datagram);
    send_to_hosts(callbacks, callbacks.leaf_hosts(), datagram);
}

void send_to_some(
    const crash_watch_callbacks& callbacks, std::size_t round,
    const std::string& datagram) {
    std::vector<std::string> recipients = callbacks.peers();
    base::keep_some(recipients, peers_per_round);
    send_to_hosts(callbacks, recipients, datagram);
    const std::vector<std::string> leaves = callbacks.leaf_hosts();
    for (std::size_t i = round % leaf_fraction; i < leaves.size();
         i += leaf_fraction)
        callbacks.send(leaves[i], datagram);
}

} // namespace mintknot::crashes
