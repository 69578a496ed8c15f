/// @file
/// Plans the returns of refused callers by asking the instance that schedules
/// their domain.
#ifndef MINTKNOT_SCHEDULING_REMOTE_RETURN_PLANNER_HPP
#define MINTKNOT_SCHEDULING_REMOTE_RETURN_PLANNER_HPP

#include <mintknot/policy/domain.hpp>
#include <mintknot/relay/return_planner.hpp>
#include <mintknot/scheduling/remote_placer.hpp>

#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace mintknot::scheduling {

/// @return the host that schedules a domain, as the placer sees it; empty if
/// there is none. Only that one keeps capacity for what it promises.
using scheduler_finder = std::function<std::string(const policy::domain&)>;

/// Asks the scheduler of the own data centre's domain once. A caller that waits
/// for a refusal is not held any longer: without an answer in time the instance
/// uses its own rule (relay::unplanned_return()).
class remote_return_planner final : public relay::return_planner {
public:
    /// The router must outlive the planner.
    remote_return_planner(
        relay::router_context& context, placer_callbacks ports,
        scheduler_finder find, placer_options options = {});
    ~remote_return_planner() override;
    remote_return_planner(const remote_return_planner&) = delete;
    remote_return_planner& operator=(const remote_return_planner&) = delete;

    bool active() const override;
    std::unique_ptr<relay::ticket> request_return(
        relay::refused_request refused, relay::return_handler then) override;

    /// @return false if the datagram is about something else.
    bool receive(const std::string& host, std::string_view datagram);

private:
    struct impl;
    std::unique_ptr<impl> impl_;
};

} // namespace mintknot::scheduling

#endif
