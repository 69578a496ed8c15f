/// @file
/// Health checks of servers that are excluded from selection after failures.
#ifndef MINTKNOT_RELAY_HEALTH_PROBER_HPP
#define MINTKNOT_RELAY_HEALTH_PROBER_HPP

#include <mintknot/logging/line_log.hpp>
#include <mintknot/relay/dialect.hpp>
#include <mintknot/upstream/call.hpp>

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>

namespace mintknot::relay {

/// A health check to be made.
struct health_check {
    upstream::target server;
    std::string path;
    base::steady_time due; ///< End of the time for which the server is avoided.
    /// The server rests until then: it has asked to be sent no requests.
    base::steady_time not_before{};
};

/// Checks a server shortly before the end of the time for which it is avoided,
/// so that no caller's request is spent on a server that is still down. Servers
/// in use are not checked: the results of requests show their health.
class health_prober {
public:
    /// @param find_check returns the check for a server ID; nullopt if the
    /// server no longer exists.
    /// @param on_result called with the result of each check.
    health_prober(
        event::loop& owner, upstream::connection_pool& pool,
        const dialect& protocol, logging::line_log& log,
        std::function<std::optional<health_check>(const std::string&)>
            find_check,
        std::function<void(const std::string&, bool passed)> on_result);
    ~health_prober();

    /// Checks the server repeatedly until a check passes or it no longer
    /// exists.
    void watch(const std::string& server_id);

private:
    struct state;

    void schedule_check(const std::string& id);
    void run_check(const std::string& id);
    void finish_check(const std::string& id, bool passed);

    event::loop& owner_;
    upstream::connection_pool& pool_;
    const dialect& protocol_;
    logging::line_log& log_;
    std::function<std::optional<health_check>(const std::string&)> find_check_;
    std::function<void(const std::string&, bool)> on_result_;
    std::unordered_map<std::string, std::unique_ptr<state>> watched_;
};

} // namespace mintknot::relay

#endif
