/// @file
/// Load tests of the sharing of capacity, run for groups of several sizes.
#ifndef MINTKNOT_POLICY_TESTS_FAIR_SHARE_LOAD_HPP
#define MINTKNOT_POLICY_TESTS_FAIR_SHARE_LOAD_HPP

#include "shared_domain_simulation.hpp"

#include <criterion/criterion.h>

namespace mintknot::policy::tests {

struct group_size {
    std::size_t instances;
    int engines; ///< Of one domain.
    milliseconds length;
};

inline const group_size small{9, 5, milliseconds{60000}};
inline const group_size medium{76, 27, milliseconds{16000}};
inline const group_size large{300, 60, milliseconds{12000}};
inline const group_size very_large{986, 110, milliseconds{10000}};

inline std::vector<simulated_caller> callers_of(
    const std::vector<caller_kind>& kinds, milliseconds length,
    int data_centres = 1) {
    std::vector<simulated_caller> callers;
    unsigned seed = 1;
    for (const caller_kind& kind : kinds)
        add_callers(callers, kind, data_centres, length, seed++);
    return callers;
}

inline domain_options options_of(const group_size& group, bool shares) {
    domain_options options;
    options.instances = group.instances;
    options.engines = group.engines;
    options.counted_until = group.length;
    options.shares = shares;
    return options;
}

struct priorities_seen {
    double urgent = 0.0;      ///< Share of the urgent callers served in time.
    double other_share = 0.0; ///< Of the capacity, of the less urgent.
    double used = 0.0;        ///< Of the capacity.
};

/// Three times a load of both priorities.
inline priorities_seen
run_priorities(const domain_options& options, double urgent_load) {
    const double capacity = capacity_per_second(options.engines);
    caller_kind urgent;
    urgent.per_second = capacity * urgent_load;
    urgent.priority = 0;
    caller_kind other;
    other.per_second = capacity * (3.0 - urgent_load);
    other.priority = 2;
    shared_domain domain(options);
    auto seen = domain.run(callers_of({urgent, other}, options.counted_until));
    const double placed = domain.placed_tokens[0] + domain.placed_tokens[2];
    const std::chrono::duration<double> time =
        options.counted_until - options.counted_from;
    const priorities_seen result{
        seen[{0, ""}].in_time_share(), domain.placed_tokens[2] / placed,
        placed / mean_stream_tokens / capacity / time.count()};
    cr_log_info(
        "%zu instances, %s: urgent %.3f in time, others %.3f of the capacity, "
        "%.3f used",
        options.instances, options.shares ? "shares" : "before", result.urgent,
        result.other_share, result.used);
    return result;
}

inline void check_priorities(const group_size& group) {
    const priorities_seen before =
        run_priorities(options_of(group, false), 0.75);
    const priorities_seen after = run_priorities(options_of(group, true), 0.75);
    cr_assert(before.urgent < 0.5, "%.3f", before.urgent);
    cr_assert(after.urgent >= 0.95, "%.3f", after.urgent);
    cr_assert(after.other_share >= 0.1, "%.3f", after.other_share);
    cr_assert(after.used > before.used - 0.1, "%.3f", after.used);
}

inline constexpr int organisations = 16;

/// 0.8 of the capacity, of which one organisation takes 0.2 and another 0.1.
/// @return the share of the other organisations' callers served in time.
inline double run_organisations(
    const domain_options& options, double burst, int bursting = 0) {
    const double capacity = capacity_per_second(options.engines);
    std::vector<caller_kind> kinds(organisations);
    for (int i = 0; i < organisations; ++i) {
        caller_kind& kind = kinds.at(static_cast<std::size_t>(i));
        kind.per_second = 0.8 * capacity * (i == 0 ? 0.2 : i == 1 ? 0.1 : 0.05);
        kind.organisation = "o" + std::to_string(i);
        if (i != bursting)
            continue;
        kind.burst_factor = burst;
        kind.burst_begin = milliseconds{4000};
        kind.burst_length = options.counted_until;
    }
    shared_domain domain(options);
    shares_seen others;
    for (const auto& [who, got] :
         domain.run(callers_of(kinds, options.counted_until)))
        if (who.second != "o" + std::to_string(bursting)) {
            others.callers += got.callers;
            others.in_time += got.in_time;
        }
    cr_log_info(
        "%zu instances, %s, burst %.0f: others %.3f in time", options.instances,
        options.shares ? "shares" : "before", burst, others.in_time_share());
    return others.in_time_share();
}

inline void check_organisations(const group_size& group, double bound) {
    const double calm = run_organisations(options_of(group, true), 1.0);
    const double before = run_organisations(options_of(group, false), 8.0);
    const double after = run_organisations(options_of(group, true), 8.0);
    cr_assert(before < calm - 0.2, "%.3f %.3f", before, calm);
    cr_assert(after >= calm - bound, "%.3f %.3f", after, calm);
}

} // namespace mintknot::policy::tests

#endif
