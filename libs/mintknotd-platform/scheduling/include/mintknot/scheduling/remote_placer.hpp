/// @file
/// Places requests by asking the instance that schedules their domain.
#ifndef MINTKNOT_SCHEDULING_REMOTE_PLACER_HPP
#define MINTKNOT_SCHEDULING_REMOTE_PLACER_HPP

#include <mintknot/relay/placer.hpp>
#include <mintknot/relay/router_state.hpp>

#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace mintknot::scheduling {

/// Times of a placer.
struct placer_options {
    /// How long a scheduler has for its answer.
    base::milliseconds answer_timeout{30};
    /// How long a scheduler that has not answered is passed over.
    base::milliseconds suspect_time{800};
    base::milliseconds min_report_interval{60}; ///< Between reports of loads.
    base::milliseconds max_report_interval{
        500}; ///< The same while there is load.
};

/// How the placer reaches other instances.
struct placer_callbacks {
    std::string own_host;
    /// Sends a datagram to the instance on that host.
    std::function<void(const std::string& host, const std::string& datagram)>
        send;
    /// @return instances that may schedule for a data centre (empty: any),
    /// this one included.
    std::function<std::vector<std::string>(const std::string& data_centre)>
        hosts;
    /// @return true if the group is large enough for schedulers.
    std::function<bool()> active;
    /// @return true once this instance knows the rows of servers, and so can
    /// place requests for others; empty: always.
    std::function<bool()> knows_servers{};
};

/// Each domain of servers has one scheduler, chosen by rendezvous hashing
/// among the instances that are heard. It knows exactly what it has placed;
/// the others report to it what has ended, and now and then to who would be
/// next. Where no scheduler answers, the request is placed here: nothing waits
/// for an instance that has gone. An instance that holds no rows of servers
/// cannot do that and asks more of them; answers name it the servers. Nobody
/// needs to agree on schedulers: two that both believe to be one only place
/// less evenly.
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
    std::unique_ptr<relay::placement_ticket>
    ask(policy::placement_query query, relay::placement_handler then) override;

    /// Own loads have shrunk, or health has changed.
    void loads_changed();
    /// Own loads have grown. The scheduler that placed the request knows.
    void loads_added();
    /// Takes a datagram of another instance; malformed ones are ignored.
    void receive(const std::string& host, std::string_view datagram);

private:
    struct impl;
    std::unique_ptr<impl> impl_;
};

} // namespace mintknot::scheduling

#endif
