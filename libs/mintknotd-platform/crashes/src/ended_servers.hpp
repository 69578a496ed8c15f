/// @file
/// Finds out which servers have ended under requests of this instance.
#ifndef MINTKNOT_CRASHES_ENDED_SERVERS_HPP
#define MINTKNOT_CRASHES_ENDED_SERVERS_HPP

#include "crash_messages.hpp"
#include "end_check.hpp"

#include <mintknot/relay/health_prober.hpp>
#include <mintknot/relay/router_state.hpp>

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace mintknot::crashes {

/// Collects the calls that broke at a server, asks once for all of them whether
/// it is still there, and tells what ran there if it is not. A server that
/// answers may have been started again by then; its row tells.
///
/// Lives on the loop's thread. Everything that is passed in must outlive it.
class ended_servers {
public:
    /// @param check_of see watch_ports::check_of.
    /// @param on_ended told of an end, and again of calls that broke a little
    /// later. @param life the server's ID and which life of it.
    ended_servers(
        relay::router_context& router,
        std::function<std::optional<relay::health_check>(const std::string& id)>
            check_of,
        std::function<
            void(const std::string& life, std::vector<broken_run> runs)>
            on_ended);

    void call_broke(const broken_run& run, const traffic::server& server);
    /// The row of a server has gone, or tells of another life.
    void replaced(const std::string& id);
    /// @return how many have ended since the start.
    std::size_t count() const noexcept { return count_; }

private:
    /// A run and when it broke.
    struct dated_run {
        broken_run run;
        base::steady_time at;
    };

    /// A server under which calls broke.
    struct watched {
        std::string life;
        std::vector<dated_run> runs; ///< Not told yet.
        /// Runs that broke although the server answered a moment later.
        std::vector<dated_run> doubted;
        std::unique_ptr<end_check> check;
        bool check_planned = false;
        std::unique_ptr<event::timer> timer; ///< Of the check, or of the end.
        std::optional<base::steady_time> alive_at;
        std::optional<base::steady_time> ended_at;
    };

    void check(const std::string& id);
    void on_verdict(const std::string& id, end_verdict found);
    void on_end(const std::string& id, watched& at);
    void tell(watched& at);
    void
    forget_later(const std::string& id, watched& at, base::milliseconds time);

    relay::router_context& router_;
    std::function<std::optional<relay::health_check>(const std::string& id)>
        check_of_;
    std::function<void(const std::string& life, std::vector<broken_run> runs)>
        on_ended_;
    std::map<std::string, watched> servers_; ///< By ID.
    std::size_t count_ = 0;
    std::shared_ptr<bool> life_ = std::make_shared<bool>(true);
};

} // namespace mintknot::crashes

#endif
