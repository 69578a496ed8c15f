/// @file
/// A supervisor: starts the parts of the program, watches and restarts them.
#ifndef MINTKNOT_SUPERVISE_SUPERVISOR_HPP
#define MINTKNOT_SUPERVISE_SUPERVISOR_HPP

#include <mintknot/base/time.hpp>

#include <atomic>
#include <cstdint>
#include <functional>
#include <memory>
#include <stop_token>
#include <string>
#include <vector>

namespace mintknot::supervise {

/// With it a part shows that it still makes progress.
class pulse {
public:
    void beat() noexcept {
        last_ = base::steady_clock::now().time_since_epoch().count();
    }
    base::steady_time last() const noexcept {
        return base::steady_time(base::steady_clock::duration(last_));
    }

private:
    std::atomic<base::steady_clock::rep> last_{
        base::steady_clock::now().time_since_epoch().count()};
};

/// A part: it runs on a thread of its own until its stop is requested. One
/// that throws or returns earlier is restarted.
struct child {
    std::string name;
    std::function<void(const std::stop_token& stop, pulse& beat)> run;
    /// Silence after which it counts as hung; 0: it is not watched.
    base::milliseconds longest_silence{0};
};

struct restart_policy {
    base::milliseconds first_backoff{100};
    base::milliseconds longest_backoff{5000};
    /// More restarts than this within the window: the supervisor gives up.
    int most_restarts = 8;
    base::milliseconds window{60000};
};

enum class child_state { running, waiting, hung, given_up };

struct child_status {
    std::string name;
    child_state state = child_state::running;
    std::uint64_t restarts = 0;
    std::string last_error;
};

/// Runs children. A supervisor may be a child of another one: pass a function
/// that calls run(), and a give-up below becomes a restart of the whole group.
///
/// @code
/// supervisor group("platform", {});
/// group.add({"config-reader", [&](auto stop, auto& beat) { ... }});
/// group.run(stop, beat);
/// @endcode
///
/// Threads cannot be ended from outside: a hung child is reported, and the
/// instance then counts as not ready.
class supervisor {
public:
    supervisor(std::string name, restart_policy policy);
    ~supervisor();
    supervisor(const supervisor&) = delete;
    supervisor& operator=(const supervisor&) = delete;

    /// Adds a child; before run() only.
    void add(child part);

    /// Blocks until the stop is requested, then until all children ended.
    /// @throws std::runtime_error if a child used up its restarts.
    void run(const std::stop_token& stop, pulse& beat);

    /// @return the children, at any time, from any thread.
    std::vector<child_status> status() const;

private:
    struct impl;
    std::unique_ptr<impl> impl_;
};

} // namespace mintknot::supervise

#endif
