/// @file
/// Servers whose rows have gone, perhaps only because the store was away.
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

/// Holds back the removal of servers. While the store is away servers cannot
/// renew their rows, and living ones lapse: those are back soon after its
/// return. A row that has gone in the meantime removes its server a moment
/// later, unless a newer row has come by then.
class lapsed_servers {
public:
    /// @param drain_bound within which a server that leaves gets no request
    /// any more: rows have less time than that to come back.
    /// @param remove takes a removal; it ignores those that newer news of the
    /// server have overtaken. @param known counts the servers at present.
    lapsed_servers(
        event::loop& owner, logging::line_log& log,
        base::milliseconds drain_bound,
        std::function<void(const std::string& id, std::uint64_t version)>
            remove,
        std::function<std::size_t()> known);

    /// The store answers again after it has been away.
    void store_returned();
    /// Takes the news that a row has gone.
    /// @param seen the last moment at which it is known to have been there.
    void gone(
        const std::string& id, std::uint64_t version,
        std::optional<base::steady_time> seen);
    /// A row of the server has come again.
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
    /// Those that are held are not held any longer, whatever speaks for it.
    base::steady_time limit_ = base::steady_time::max();
    base::steady_time settles_{}; ///< With the timer.
    event::timer timer_;
};

} // namespace mintknot::runtime

#endif
