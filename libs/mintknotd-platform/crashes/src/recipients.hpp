/// @file
/// Sends datagrams of crash_watch to groups of other instances.
#ifndef MINTKNOT_CRASHES_RECIPIENTS_HPP
#define MINTKNOT_CRASHES_RECIPIENTS_HPP

#include <mintknot/base/random.hpp>
#include <mintknot/crashes/crash_watch.hpp>

#include <algorithm>
#include <cstddef>
#include <string>
#include <vector>

namespace mintknot::crashes {

/// Sends a datagram to each of the hosts but the own one.
void send_to_hosts(
    const crash_watch_callbacks& callbacks,
    const std::vector<std::string>& hosts, const std::string& datagram);

/// Sends a datagram to all instances that are heard, and to the leaves.
void send_to_everybody(
    const crash_watch_callbacks& callbacks, const std::string& datagram);

/// Sends a datagram to a few random peers, and to a part of the leaves: to all
/// of them in some rounds. @param round counts up.
void send_to_some(
    const crash_watch_callbacks& callbacks, std::size_t round,
    const std::string& datagram);

/// Leaves a run of `max` values that begins at a random one, if there are more.
template<typename Value>
void keep_random_run(std::vector<Value>& values, std::size_t max) {
    if (values.size() <= max)
        return;
    const auto first =
        static_cast<std::ptrdiff_t>(base::random_below(values.size()));
    std::rotate(values.begin(), values.begin() + first, values.end());
    values.resize(max);
}

} // namespace mintknot::crashes

#endif
