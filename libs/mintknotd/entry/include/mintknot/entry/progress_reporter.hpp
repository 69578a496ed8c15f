/// @file
/// Tells schedulers, in batches, how far their requests have come.
#ifndef MINTKNOT_ENTRY_PROGRESS_REPORTER_HPP
#define MINTKNOT_ENTRY_PROGRESS_REPORTER_HPP

#include <mintknot/control/control_loop.hpp>
#include <mintknot/rpc/peer_client.hpp>

#include <functional>
#include <memory>
#include <optional>
#include <stop_token>
#include <string>

namespace mintknot::entry {

/// The scheduler that placed an attempt.
struct scheduler_location {
    std::string service;
    /// Nothing: the scheduler of this instance.
    std::optional<base::address> remote;

    auto operator<=>(const scheduler_location&) const = default;
};

/// The batches also keep reservations alive: the last phase of every attempt
/// is repeated until it has ended. Losses are harmless.
///
/// Thread: run() on one thread; report() from any thread, without blocking.
class progress_reporter {
public:
    /// Both must outlive the reporter.
    progress_reporter(control::control_loop& control, rpc::peer_client& peers);
    ~progress_reporter();
    progress_reporter(const progress_reporter&) = delete;
    progress_reporter& operator=(const progress_reporter&) = delete;

    void report(const scheduler_location& where, routing::progress line);

    void run(const std::stop_token& stop, const std::function<void()>& alive);

private:
    struct impl;
    std::unique_ptr<impl> impl_;
};

} // namespace mintknot::entry

#endif
