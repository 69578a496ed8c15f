/// @file
/// Borrows retries from peers and lends them. The rule is in
/// policy/retry_quota.hpp.
#ifndef MINTKNOT_RUNTIME_REPEAT_LENDING_HPP
#define MINTKNOT_RUNTIME_REPEAT_LENDING_HPP

#include "loan_messages.hpp"

#include <mintknot/relay/router_state.hpp>

#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace mintknot::runtime {

/// Functions through which repeat_lending reaches other instances.
struct lending_ports {
    std::function<void(const std::string& host, const std::string& datagram)>
        send;
    /// @return hosts of the peers that are reachable and not leaving.
    std::function<std::vector<std::string>()> peers;
};

/// Used on the loop's thread only. Sends nothing while no retries are needed.
class repeat_lending {
public:
    /// The router must outlive this object.
    repeat_lending(relay::router_context& router, lending_ports ports);

    /// Asks some peers for retries, at most once within a short interval.
    void ask(const std::string& service, int repeats);

    /// @return false if the datagram is about something else.
    bool receive(const std::string& host, std::string_view datagram);

    /// Retries lent and borrowed since the start, for metrics.
    std::int64_t lent() const { return lent_; }
    std::int64_t borrowed() const { return borrowed_; }

private:
    /// A request that may still be answered.
    struct pending_request {
        std::string service;
        base::steady_time asked;
        std::set<std::string> hosts; ///< Peers that have not answered.
    };

    void on_message(const std::string& host, const loan_request& request);
    void on_message(const std::string& host, const loan_offer& offer);
    void drop_expired_requests(base::steady_time now);

    relay::router_context& router_;
    lending_ports ports_;
    std::uint64_t last_number_;
    std::map<std::uint64_t, pending_request> pending_;
    /// Last request by service.
    std::unordered_map<std::string, base::steady_time> last_request_;
    std::int64_t lent_ = 0;
    std::int64_t borrowed_ = 0;
};

} // namespace mintknot::runtime

#endif
