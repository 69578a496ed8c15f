/// @file
/// Tells schedulers what this instance has in flight in their domains.
#ifndef MINTKNOT_SCHEDULING_LOAD_REPORTER_HPP
#define MINTKNOT_SCHEDULING_LOAD_REPORTER_HPP

#include "scheduler_directory.hpp"

#include <mintknot/scheduling/messages.hpp>

#include <map>
#include <set>
#include <string>
#include <vector>

namespace mintknot::scheduling {

/// Reports follow a change within the shortest gap, and go on at the longest
/// one while there is load: each replaces the one before. Used on the loop's
/// thread; everything it refers to outlives it.
class load_reporter {
public:
    load_reporter(
        relay::router_context& context, const placer_ports& ports,
        const scheduler_directory& directory, const placer_options& options);

    /// Own loads or health have changed.
    void loads_changed();
    /// The host counts a request that nobody sends: the next report corrects
    /// it.
    void correct(const std::string& host);

private:
    void plan(base::steady_time when);
    void send();
    /// Adds what is avoided here and how fast engines were seen to read.
    void add_observations(
        std::map<std::string, load_report>& reports,
        const std::vector<policy::server_warning>& avoided);

    relay::router_context& context_;
    const placer_ports& ports_;
    const scheduler_directory& directory_;
    placer_options options_;
    std::set<std::string> reported_; ///< Hosts that know of loads from here.
    base::steady_time sent_{};
    base::steady_time due_{};
    event::timer timer_;
};

} // namespace mintknot::scheduling

#endif
