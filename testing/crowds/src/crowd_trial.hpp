/// @file
/// One process of the system, real and on loopback, and a crowd against it.
#ifndef MINTKNOT_CROWDS_CROWD_TRIAL_HPP
#define MINTKNOT_CROWDS_CROWD_TRIAL_HPP

#include "crowd_plan.hpp"

#include <mintknot/base/address.hpp>
#include <mintknot/base/time.hpp>
#include <mintknot/event/loop.hpp>
#include <mintknot/harness/child_process.hpp>

#include <cstddef>
#include <functional>
#include <string>
#include <vector>

namespace mintknot::crowds {

/// Within which an ordinary client gets its answer, with the tries that it
/// makes; the time limits on requests would end a crowd's only later.
inline constexpr base::milliseconds request_limit{5000};

/// The process that a crowd sends to.
struct trial_subject {
    harness::child_process& process;
    base::address target; ///< Of the crowd.
    base::address entry;  ///< Of ordinary callers.
    /// Where the process takes connections.
    std::vector<base::address> listens;
    /// One whole request, which is answered 200.
    std::string ordinary_request;
};

/// What a trial has seen.
struct trial_result {
    bool lives = false;
    /// Largest sum of what the process holds and what it has not read yet.
    std::size_t max_memory_bytes = 0;
    std::size_t max_descriptors = 0;
    /// Of one ordinary request, while the crowd's connections are still open
    /// and after they were closed.
    int status_beside_crowd = 0;
    int status_after_crowd = 0;
    std::size_t sent_bytes = 0; ///< By the crowd.
    std::size_t left_open = 0;  ///< Connections of the crowd, at its end.
};

/// Plays a crowd against a process that serves.
class crowd_trial {
public:
    explicit crowd_trial(trial_subject subject);

    /// Sends requests until one is answered 200, as a client does that is
    /// refused or not read. @return the status of the last one, or 0.
    int ask_until_answered(base::milliseconds limit);
    /// @return the status of the answer to one request, or 0.
    int ask(const std::string& request, base::milliseconds limit);
    trial_result play(const crowd_plan& plan);

private:
    void look();
    void
    run_until(const std::function<bool()>& condition, base::milliseconds limit);

    trial_subject subject_;
    event::loop owner_;
    event::timer poll_timer_;
    trial_result result_;
};

} // namespace mintknot::crowds

#endif
