/// @file
/// Finds engines for a request: scheduler, other data centre, or alone.
#ifndef MINTKNOT_ENTRY_PLACER_HPP
#define MINTKNOT_ENTRY_PLACER_HPP

#include <mintknot/config/change_feed.hpp>
#include <mintknot/control/control_loop.hpp>
#include <mintknot/entry/progress_reporter.hpp>
#include <mintknot/rpc/peer_client.hpp>

#include <optional>
#include <string>
#include <vector>

namespace mintknot::entry {

/// A placement, and whom to tell about its progress.
struct placed {
    rpc::placed_request request;
    std::optional<scheduler_location> scheduler; ///< Nothing: placed alone.
    std::vector<std::string> records; ///< Of every scheduler that was asked.
};

/// Asks the scheduler of the own data centre. If that has no room at once,
/// the other data centres with engines of the service are asked, then the own
/// one again with leave to wait. A scheduler that is out of reach is passed
/// over for the next instance in the order of the hash. Out of reach of any
/// scheduler it decides alone from the lagging loads.
///
/// Thread: place() from any thread; it blocks.
class placer {
public:
    /// All must outlive the placer.
    placer(
        const config::change_feed& feed, control::control_loop& control,
        rpc::peer_client& peers);

    placed place(routing::place_query query);

private:
    absl::StatusOr<rpc::placed_request> ask_in_order(
        const routing::place_query& query, const std::string& data_centre,
        std::optional<scheduler_location>& scheduler);
    absl::StatusOr<rpc::placed_request>
    ask(const routing::place_query& query, const std::string& data_centre,
        const std::optional<cluster::member>& chosen,
        std::optional<scheduler_location>& scheduler);
    placed place_alone(
        const routing::place_query& query, const std::string& why) const;
    std::vector<std::string> data_centres_of(const std::string& service) const;

    const config::change_feed& feed_;
    control::control_loop& control_;
    rpc::peer_client& peers_;
};

} // namespace mintknot::entry

#endif
