/// @file
/// Detects servers that end while they run requests of this instance.
#ifndef MINTKNOT_CRASHES_CRASH_DETECTOR_HPP
#define MINTKNOT_CRASHES_CRASH_DETECTOR_HPP

#include "crash_messages.hpp"

#include <mintknot/relay/health_prober.hpp>
#include <mintknot/relay/liveness_check.hpp>
#include <mintknot/relay/router_state.hpp>

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace mintknot::crashes {

/// Collects the calls that broke at a server, checks once for all of them
/// whether it is still alive, and reports them if it is not. A server that
/// answers may already have been restarted; replaced() then reports the end.
///
/// Used only on the event loop's thread. The router and everything that the
/// callbacks refer to must outlive it.
class crash_detector {
public:
    /// @param interruptions times in which this process did not run; kept by
    /// the owner, who adds to them.
    /// @param health_check_for see crash_watch_callbacks::health_check_for.
    /// @param on_ended called when a server has ended, and again with calls
    /// that broke a little later. Its first argument combines the ID of the
    /// server and its incarnation.
    crash_detector(
        relay::router_context& router,
        const std::vector<policy::interruption>& interruptions,
        std::function<std::optional<relay::health_check>(const std::string& id)>
            health_check_for,
        std::function<
            void(const std::string& incarnation, std::vector<broken_run> runs)>
            on_ended);

    void
    report_broken_call(const broken_run& run, const traffic::server& server);
    /// To be called when the row of a server was removed or shows a new
    /// incarnation.
    void replaced(const std::string& id);
    /// @return true if calls of such a request, by digest or by the size of its
    /// body, broke that have not been reported yet.
    bool has_unreported(const std::string& digest) const;
    bool has_unreported(std::uint64_t body_bytes) const;
    /// @return the number of servers that have ended since the start.
    std::size_t count() const noexcept { return count_; }

private:
    /// A run, when it broke and when its server had last been heard by then.
    struct timestamped_run {
        broken_run run;
        base::steady_time at;
        std::optional<base::steady_time> server_heard;
    };

    /// A server at which calls broke.
    struct tracked_server {
        std::string incarnation;
        std::vector<timestamped_run> runs; ///< Not reported yet.
        /// Runs that broke although the server answered a moment later.
        std::vector<timestamped_run> unconfirmed_runs;
        std::unique_ptr<relay::liveness_check> check;
        bool check_planned = false;
        /// For the next check, or for the removal of the entry.
        std::unique_ptr<event::timer> timer;
        std::optional<base::steady_time> alive_at;
        std::optional<base::steady_time> ended_at;
    };

    bool any_unreported(
        const std::function<bool(const policy::request_key&)>& matches) const;
    void check(const std::string& id);
    void on_verdict(const std::string& id, relay::liveness_verdict found);
    void on_server_ended(const std::string& id, tracked_server& tracked);
    /// @return the runs that have not been reported yet, which are now.
    std::vector<broken_run> take_reports(tracked_server& tracked);
    broken_run to_report(const timestamped_run& entry) const;
    void schedule_removal(
        const std::string& id, tracked_server& tracked,
        base::milliseconds time);

    relay::router_context& router_;
    const std::vector<policy::interruption>& interruptions_;
    std::function<std::optional<relay::health_check>(const std::string& id)>
        health_check_for_;
    std::function<void(
        const std::string& incarnation, std::vector<broken_run> runs)>
        on_ended_;
    std::map<std::string, tracked_server> servers_; ///< By ID.
    std::size_t count_ = 0;
    std::shared_ptr<bool> alive_token_ = std::make_shared<bool>(true);
};

} // namespace mintknot::crashes

#endif
