/// @file
/// Load of streams with large events on decode engines, in virtual time.
#ifndef MINTKNOT_POLICY_TESTS_STREAM_LOAD_HPP
#define MINTKNOT_POLICY_TESTS_STREAM_LOAD_HPP

#include <mintknot/base/time.hpp>

#include <cstddef>

namespace mintknot::policy::tests {

/// What decides whether a stream fits.
enum class memory_rule {
    reservation, ///< The prompt and 0.6 of the expected output.
    profile,     ///< The memory profile.
    oracle       ///< The profile with all lengths known, and without delay.
};

struct stream_load_options {
    memory_rule rule = memory_rule::profile;
    std::size_t instances = 76; ///< Above 24 one scheduler places.
    std::size_t engines = 45;
    double capacity_factor = 1.5; ///< Demand over capacity.
    double estimate_factor = 1.0; ///< Median of estimate over output.
    double lost_reports = 0.0;    ///< Share of load reports.
    /// All load views start empty at this time, as with a new scheduler.
    base::milliseconds views_lost_at{-1};
    unsigned seed = 1;
};

/// Shares of the streams after a warm-up.
struct stream_load_result {
    int streams = 0;
    int in_target = 0; ///< Started within target and never preempted.
    int started = 0;
    int preempted = 0;
    int large = 0; ///< The tenth with the largest prompt and output.
    int large_started = 0;

    double in_target_share() const { return part(in_target, streams); }
    double preempted_share() const { return part(preempted, started); }
    double started_share() const { return part(started, streams); }
    double large_started_share() const { return part(large_started, large); }

private:
    static double part(int some, int all) {
        return static_cast<double>(some) / all;
    }
};

/// Plays 30 s of the load after a warm-up of 6 s. Events last 43 ms. An engine
/// out of memory preempts its newest stream, which goes on when it fits.
stream_load_result play_stream_load(const stream_load_options& options);

} // namespace mintknot::policy::tests

#endif
