/// @file
/// Tells schedulers what this instance has in flight in their domains.
#ifndef MINTKNOT_SCHEDULING_LOAD_REPORTER_HPP
#define MINTKNOT_SCHEDULING_LOAD_REPORTER_HPP

#include "scheduler_directory.hpp"

#include <mintknot/scheduling/messages.hpp>

#include <map>
#include <string>

namespace mintknot::scheduling {

/// Reports follow the end of a request within the shortest gap, and go on at
/// the longest one while there is load: each replaces the one before. What a
/// scheduler has placed it knows: with a report for that too, each plain call
/// cost its scheduler four datagrams in place of three, some 40 us each, and
/// 0.12 of a core bears 770 calls a second in place of 1,025 (calculated from
/// the processor time of 295 instances and their datagrams). The standby of
/// each scheduler is told at the longest gap only. Without that, whoever took
/// over from a scheduler that was silent for 140 ms knew of no load there, and
/// 250 decodes were rejected by full engines within two seconds (295 instances,
/// a burst of twice the load). Used on the loop's thread; everything it refers
/// to outlives it.
class load_reporter {
public:
    load_reporter(
        relay::router_context& context, const placer_callbacks& callbacks,
        const scheduler_directory& directory, const placer_options& options);

    /// Own loads have shrunk, or health has changed.
    void loads_changed();
    /// Own loads have grown.
    void loads_added();
    /// The host has placed a request, and is to be told when it ends.
    void placed_by(const std::string& host);
    /// The host counts a request that nobody sends: the next report corrects
    /// it.
    void schedule_correction(const std::string& host);

private:
    /// What one host is to be told.
    struct pending_report {
        load_report report;
        bool urgent = false; ///< It schedules now.
    };
    using pending_report_map = std::map<std::string, pending_report>;

    void schedule_send(base::steady_time when);
    void send();
    /// @return own loads, by the hosts that are to know them.
    pending_report_map collect();
    /// Adds how calls have ended, for those that schedule the servers.
    void add_results(pending_report_map& reports);
    /// Adds what is avoided here and how fast engines were seen to read.
    void add_observations(pending_report_map& reports);

    relay::router_context& context_;
    const placer_callbacks& callbacks_;
    const scheduler_directory& directory_;
    placer_options options_;
    /// Hosts that know of loads from here, and whether they schedule.
    std::map<std::string, bool> reported_;
    base::steady_time last_sent_at_{};
    base::steady_time standbys_last_sent_at_{};
    base::steady_time next_send_at_{};
    event::timer timer_;
};

} // namespace mintknot::scheduling

#endif
