/// @file
/// What a soak does to the system from outside: signals and broken links.
#ifndef MINTKNOT_SOAK_SOAK_FAULTS_HPP
#define MINTKNOT_SOAK_SOAK_FAULTS_HPP

#include "soak_system.hpp"

#include <mintknot/event/loop.hpp>

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace mintknot::soak {

/// Which work and which faults are drawn.
enum class fault_kinds {
    none,
    planned_work, ///< Stops, drains, SIGHUP, new configurations.
    suspensions,  ///< Instances stand still for a while, servers are killed.
    all           ///< Planned work, kills, pauses and broken links.
};

/// Shortest and longest time that is drawn.
struct millisecond_range {
    int min;
    int max;
};

/// Draws one fault after another, by a seed. Series overlap: a fault does not
/// wait for the end of the one before.
///
/// Lifetime: loop and system must outlive it.
class fault_injector {
public:
    fault_injector(
        event::loop& owner, soak_system& system, fault_kinds kinds,
        std::uint64_t seed);

    void start();
    /// Drains a random server even in undisturbed runs, unless it is already
    /// draining.
    void drain_random_server();
    /// Drains one server, unless it is already draining; it comes back.
    void drain_one_server(std::size_t index);
    /// Kills some random instances at the same moment; they come back.
    void kill_instances(std::size_t count);
    /// Sends SIGTERM to some random instances; they come back.
    void stop_instances(std::size_t count);
    /// Kills some random engines that decode; they come back.
    void kill_engines(std::size_t count);
    /// No fault begins any more, links pass again, paused processes go on.
    void heal();
    /// @return what was done, a line each, with its time.
    const std::vector<std::string>& notes() const { return notes_; }
    /// @return the instances that have ended by themselves, a line each.
    const std::vector<std::string>& own_ends() const { return own_ends_; }
    /// @return what was done, for the checks; what is not over lasts for ever.
    const std::vector<disturbance>& disturbances() const {
        return disturbances_;
    }

private:
    int draw(int low, int high);
    std::size_t pick(std::size_t bound);
    /// @return the numbers of all instances in random order.
    std::vector<std::size_t> shuffled_instances();
    void note(const std::string& what);
    void begin(const std::string& part);
    void end(const std::string& part);
    void later(int milliseconds, std::function<void()> action);

    /// Starts processes again that have ended by themselves.
    void watch_processes();
    void watch_servers();
    void watch_instances();
    void plan_next();
    void planned_work();
    void fault();
    void suspension();

    void fail_link(const std::string& name);
    void kill_server(std::size_t index);
    void drain_server(std::size_t index);
    void wait_for_drained(std::size_t index);
    void kill_instance(std::size_t index);
    void stop_instance(std::size_t index);
    void wait_for_stopped(std::size_t index);
    void start_instance(std::size_t index);
    void pause(
        soak_process& process, const std::string& part,
        const millisecond_range& range);
    void resume(soak_process& process, const std::string& part);
    /// @return an instance that still runs an earlier build.
    std::optional<std::size_t> earlier_instance() const;

    event::loop& owner_;
    soak_system& system_;
    fault_kinds kinds_;
    std::mt19937_64 random_;
    event::timer timer_;
    event::timer watch_timer_;
    std::vector<std::unique_ptr<event::timer>> timers_;
    std::set<std::size_t> stopping_; ///< Instances that are on their way out.
    std::set<std::size_t> draining_; ///< Servers that are.
    std::set<std::string> broken_links_;
    base::steady_time began_{};
    std::vector<std::string> notes_;
    std::vector<std::string> own_ends_;
    std::vector<disturbance> disturbances_;
};

} // namespace mintknot::soak

#endif
