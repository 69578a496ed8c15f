/// @file
/// Reports to schedulers the load that this instance has in flight in their
/// domains.
#ifndef MINTKNOT_SCHEDULING_LOAD_REPORTER_HPP
#define MINTKNOT_SCHEDULING_LOAD_REPORTER_HPP

#include "scheduler_directory.hpp"

#include <mintknot/scheduling/messages.hpp>

#include <map>
#include <string>

namespace mintknot::scheduling {

/// A report follows the end of a request within min_report_interval, and
/// reports repeat every max_report_interval while there is load; each replaces
/// the one before. What a scheduler has placed is not reported at once, as it
/// knows it: with a report for that too, each plain call cost its scheduler
/// four datagrams instead of three, about 40 us each, and 0.12 of a core
/// handled 770 calls per second instead of 1,025 (calculated from the processor
/// time of 295 instances and their datagrams). The standby of each scheduler
/// gets a report only every max_report_interval. Without it, an instance that
/// took over from a scheduler that was silent for 140 ms knew of no load there,
/// and full engines rejected 250 decodes within two seconds (295 instances, a
/// burst of twice the load).
///
/// While capacity is shared, an active scheduler gets an empty report twice,
/// the second after max_report_interval: if the only one was lost, it counted
/// the calls for 1.5 s more and refused others. Used only on the event loop's
/// thread; everything it refers to must outlive it.
class load_reporter {
public:
    load_reporter(
        relay::router_context& context, const placer_callbacks& callbacks,
        const scheduler_directory& directory, const placer_options& options);

    /// To be called when load of this instance has ended, or server health has
    /// changed.
    void loads_changed();
    /// To be called when load was added to this instance.
    void loads_added();
    /// To be called when the host has placed a request, so that its end is
    /// reported to the host.
    void placed_by(const std::string& host);
    /// To be called when the host counts a request that is not sent; schedules
    /// a report that corrects its count.
    void schedule_correction(const std::string& host);

private:
    /// A report to one host.
    struct pending_report {
        load_report report;
        bool urgent = false; ///< Its host is the active scheduler.
    };
    using pending_report_map = std::map<std::string, pending_report>;

    void schedule_send(base::steady_time when);
    void send();
    /// Adds the empty reports that are due again.
    void add_repeated(pending_report_map& reports);
    /// Schedules the reports that follow those that were sent.
    void schedule_next();
    /// @return reports of the load of this instance, by destination host.
    pending_report_map collect();
    /// Adds the results of calls, for the schedulers of the servers.
    void add_results(pending_report_map& reports);
    /// Adds the times of plain calls, for the schedulers of the servers.
    void add_call_times(pending_report_map& reports);
    /// Adds the servers that are avoided here and the observed prefill rates.
    void add_observations(pending_report_map& reports);

    relay::router_context& context_;
    const placer_callbacks& callbacks_;
    const scheduler_directory& directory_;
    placer_options options_;
    /// Hosts that count load of this instance, and whether they are active
    /// schedulers.
    std::map<std::string, bool> reported_;
    /// Hosts that get an empty report once more, because the first one may be
    /// lost, and when.
    std::map<std::string, base::steady_time> repeated_;
    base::steady_time last_sent_at_{};
    base::steady_time standbys_last_sent_at_{};
    base::steady_time next_send_at_{};
    event::timer timer_;
};

} // namespace mintknot::scheduling

#endif
