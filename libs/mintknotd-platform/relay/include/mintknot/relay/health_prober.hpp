/// @file
/// Health checks of servers that are avoided.
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

/// What is to be checked, and when at the earliest.
struct health_check {
    upstream::target server;
    std::string path;
    base::steady_time due;
    base::steady_time not_before{}; ///< The server rests until then.
};

/// Checks a server at the end of the time for which it is avoided, so that no
/// caller's request has to find out whether it is back. Servers in use are
/// never checked: requests tell of them.
class health_prober {
public:
    /// @param find_check what to check of a server; nothing if it has gone.
    /// @param on_result told of every check.
    health_prober(
        event::loop& owner, upstream::connection_pool& pool,
        const dialect& protocol, logging::line_log& log,
        std::function<std::optional<health_check>(const std::string&)>
            find_check,
        std::function<void(const std::string&, bool passed)> on_result);
    ~health_prober();

    /// Checks the server until it passes or has gone.
    void watch(const std::string& server_id);

private:
    struct state;

    void plan(const std::string& id);
    void check(const std::string& id);
    void finish(const std::string& id, bool passed);

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
