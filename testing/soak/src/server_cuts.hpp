/// @file
/// Cuts of instances from servers that others still reach.
#ifndef MINTKNOT_SOAK_SERVER_CUTS_HPP
#define MINTKNOT_SOAK_SERVER_CUTS_HPP

#include "soak_checks.hpp"
#include "soak_system.hpp"

#include <mintknot/event/loop.hpp>

#include <cstdint>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace mintknot::soak {

/// Some instances lose their links to some servers for a while.
struct server_cut {
    std::set<std::size_t> instances;
    std::set<std::size_t> servers;
    standins::link_fault fault{.mode = standins::link_mode::partition};
    base::milliseconds from{0}; ///< After the start of the load.
    base::milliseconds until{0};
};

/// A cut that has happened.
struct past_cut {
    std::set<std::size_t> instances;
    bool from_all_servers = false;
    base::steady_time from;
    base::steady_time until = base::steady_time::max();
};

/// What cuts are drawn from.
struct cut_terms {
    std::size_t instances = 0;
    std::size_t data_centres = 1;
    std::size_t servers = 0;
    std::size_t plain_servers = 0; ///< The last ones.
    base::milliseconds length{0};  ///< Of the load.
};

/// @return a series of cuts that may overlap: of one instance, of several, of a
/// data centre, of all but one or of all, from all servers or some.
std::vector<server_cut> draw_cuts(const cut_terms& terms, std::uint64_t seed);

/// Applies cuts to a system with own server links.
///
/// Lifetime: loop and system must outlive it.
class cut_schedule {
public:
    cut_schedule(
        event::loop& owner, soak_system& system, std::vector<server_cut> cuts);

    void start();
    /// Ends all cuts; no further one begins.
    void heal();
    const std::vector<past_cut>& past() const { return past_; }
    /// @return a line for each cut.
    std::vector<std::string> notes() const;

private:
    void begin(std::size_t index);
    void end(std::size_t index);
    /// Sets the links of the instances of a cut; the first active cut counts.
    void apply(const server_cut& cut);

    event::loop& owner_;
    soak_system& system_;
    std::vector<server_cut> cuts_;
    std::vector<std::unique_ptr<event::timer>> timers_;
    std::map<std::size_t, std::size_t> active_; ///< Cut to its index in past_.
    std::vector<past_cut> past_;
};

/// Requests, and those of them that were answered with success and whole.
struct tally {
    std::size_t sent = 0;
    std::size_t served = 0;
    base::milliseconds time{0}; ///< Sum over those that were served.
};

/// What callers got while instances were cut from all servers.
struct cut_tally {
    std::set<std::size_t> instances;
    tally early;     ///< At the instances that were cut, within contact_time.
    tally here;      ///< The same, later.
    tally elsewhere; ///< At those that were cut from no server.
};

/// @return the requests that were sent during each cut from all servers that
/// lasts longer than contact_time. Instances that were disturbed
/// otherwise do not count.
std::vector<cut_tally> cut_tallies(
    const std::vector<caller_record>& records,
    const std::vector<past_cut>& cuts,
    const std::vector<disturbance>& disturbances);

/// @return what was served, with its mean time.
std::string to_string(const tally& sum);
std::string to_string(const cut_tally& cut);

/// @return a line for each cut during which the requests at the instances that
/// were cut were served less than two thirds as often as those at the others,
/// and more than ten and one in fifty of them failed.
std::vector<std::string> broken_by_cuts(const std::vector<cut_tally>& tallies);

} // namespace mintknot::soak

#endif
