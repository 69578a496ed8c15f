/// @file
/// Shares the limits of servers between instances. The rule is in
/// policy/server_limit.hpp.
#ifndef MINTKNOT_RUNTIME_LIMIT_SHARING_HPP
#define MINTKNOT_RUNTIME_LIMIT_SHARING_HPP

#include "limit_messages.hpp"

#include <mintknot/event/loop.hpp>
#include <mintknot/relay/router_state.hpp>

#include <functional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace mintknot::runtime {

/// Functions through which limit_sharing reaches other instances.
struct limit_ports {
    std::string own_host;
    std::function<void(const std::string& host, const std::string& datagram)>
        send;
    /// @return hosts that hold tokens of a server with this limit, including
    /// this host if it is one of them.
    std::function<std::vector<std::string>(
        const traffic::server& server, double rate)>
        token_holders;
    /// @return other hosts that the server's limit is reported to.
    std::function<std::vector<std::string>(const traffic::server& server)>
        report_recipients;
};

/// Used on the loop's thread only. Sends nothing while no limit is known.
class limit_sharing {
public:
    /// The router must outlive this object.
    limit_sharing(relay::router_context& router, limit_ports ports);

    /// Starts periodic updates. Called when a limit is received from a server
    /// or a peer.
    void start_updates();

    /// @return false if the datagram is about something else.
    bool receive(const std::string& host, std::string_view datagram);

private:
    /// The last report about a server.
    struct sent_report {
        std::optional<double> rate;
        base::steady_time at;
        int repeats = 0; ///< Of an unchanged report.
    };

    void update();
    void
    update_server(const std::string& id, const policy::server_limit& limit);
    void send_report(
        const traffic::server& server, const policy::server_limit& limit);
    bool needs_report(const std::string& id, const policy::server_limit& limit);
    void request_token(const traffic::server& server, double rate);

    void on_message(const std::string& host, const limit_report& report);
    void on_message(const std::string& host, const token_request& request);
    void on_message(const std::string& host, const token_offer& offer);

    relay::router_context& router_;
    limit_ports ports_;
    event::timer timer_;
    std::unordered_map<std::string, sent_report> sent_reports_; ///< By server.
    /// Last token request by server; offers that arrive too late are ignored.
    std::unordered_map<std::string, base::steady_time> requested_at_;
};

} // namespace mintknot::runtime

#endif
