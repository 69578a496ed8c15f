/// @file
/// Places requests by asking the instance that schedules their domain.
#ifndef MINTKNOT_SCHEDULING_REMOTE_PLACER_HPP
#define MINTKNOT_SCHEDULING_REMOTE_PLACER_HPP

#include <mintknot/policy/domain.hpp>
#include <mintknot/relay/placer.hpp>
#include <mintknot/relay/router_state.hpp>

#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace mintknot::scheduling {

/// Timing parameters of remote_placer.
struct placer_options {
    /// Shortest time to wait for the answer of a scheduler.
    base::milliseconds answer_timeout{30};
    /// How long a scheduler that did not answer is skipped.
    base::milliseconds suspect_time{800};
    base::milliseconds min_report_interval{
        60}; ///< Minimum between load reports.
    base::milliseconds max_report_interval{
        500}; ///< Maximum while there is load.
};

/// Callbacks through which remote_placer reaches other instances.
struct placer_callbacks {
    std::string own_host;
    /// Sends a datagram to the instance on that host.
    std::function<void(const std::string& host, const std::string& datagram)>
        send;
    /// @return hosts of instances that may schedule for a data centre (empty:
    /// any), this one included.
    std::function<std::vector<std::string>(const std::string& data_centre)>
        hosts;
    /// @return true if the group is large enough to use schedulers.
    std::function<bool()> active;
    /// @return true once this instance knows the rows of servers, and so can
    /// place requests for others; empty: always.
    std::function<bool()> knows_servers{};
};

/// Each domain of servers has one scheduler, chosen by rendezvous hashing among
/// the instances whose heartbeats are received. It knows exactly what it has
/// placed; the other instances report to it what has ended, and less often to
/// its standby. If no scheduler answers, the request is placed locally, so that
/// no request waits for an instance that is gone. An instance that holds no
/// rows of servers cannot place locally: it asks more schedulers, and their
/// answers contain the rows of the chosen servers. Choosing schedulers needs no
/// consensus: if two instances both act as scheduler of a domain, load is only
/// spread less evenly.
class remote_placer final : public relay::placer {
public:
    /// The router must outlive the placer.
    remote_placer(
        relay::router_context& context, placer_callbacks ports,
        placer_options options = {});
    ~remote_placer() override;
    remote_placer(const remote_placer&) = delete;
    remote_placer& operator=(const remote_placer&) = delete;

    bool active() const override;
    std::unique_ptr<relay::placement_ticket> request_placement(
        policy::placement_query query, relay::placement_handler then) override;

    /// @return the scheduler of a domain in the view of this instance; empty if
    /// there is none.
    std::string scheduler_of(const policy::domain& which) const;
    /// To be called when load of this instance has ended, or server health has
    /// changed.
    void loads_changed();
    /// To be called when load was added to this instance. It is not reported at
    /// once, as the scheduler that placed the request knows it.
    void loads_added();
    /// Processes a datagram of another instance; malformed ones are ignored.
    void receive(const std::string& host, std::string_view datagram);

private:
    struct impl;
    std::unique_ptr<impl> impl_;
};

} // namespace mintknot::scheduling

#endif
