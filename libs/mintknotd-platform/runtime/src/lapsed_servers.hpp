/// @file
/// Servers whose rows are missing, possibly only because the store was
/// unreachable.
#ifndef MINTKNOT_RUNTIME_LAPSED_SERVERS_HPP
#define MINTKNOT_RUNTIME_LAPSED_SERVERS_HPP

#include <mintknot/event/loop.hpp>
#include <mintknot/logging/line_log.hpp>

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>

namespace mintknot::runtime {

/// Delays the removal of servers. While the store is unreachable, servers
/// cannot renew their rows, and those of running servers lapse; they reappear
/// soon after the store has recovered. A server whose row is gone is removed
/// after a delay, unless a newer row has arrived by then.
class lapsed_servers {
public:
    /// @param drain_bound time after which a leaving server must receive no
    /// more requests; rows have less than that to reappear.
    /// @param remove removes a server unless a newer version of it is known.
    /// @param known returns the current number of servers.
    lapsed_servers(
        event::loop& owner, logging::line_log& log,
        base::milliseconds drain_bound,
        std::function<void(const std::string& id, std::uint64_t version)>
            remove,
        std::function<std::size_t()> known);

    /// Called when the store answers again after an outage.
    void store_returned();
    /// Called when a row is gone.
    /// @param seen the last time at which it is known to have existed.
    void gone(
        const std::string& id, std::uint64_t version,
        std::optional<base::steady_time> seen);
    /// Called when the server has a row again.
    void back(const std::string& id);

private:
    void settle_at(base::steady_time when);
    void settle();
    void remove_held();

    event::loop& owner_;
    logging::line_log& log_;
    base::milliseconds drain_bound_;
    base::milliseconds return_time_;
    std::function<void(const std::string&, std::uint64_t)> remove_;
    std::function<std::size_t()> known_;
    std::map<std::string, std::uint64_t> held_; ///< Versions by server ID.
    base::steady_time hold_until_{};
    /// Latest time at which the held removals must be carried out.
    base::steady_time limit_ = base::steady_time::max();
    base::steady_time settles_{}; ///< When the timer expires.
    event::timer timer_;
};

} // namespace mintknot::runtime

#endif
