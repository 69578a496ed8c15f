/// @file
/// Callers of several priorities and organisations that compete for decode
/// engines, in virtual time: each request asks, waits in its instance's queue,
/// or is refused and returns once.
#ifndef MINTKNOT_POLICY_TESTS_SHARED_DOMAIN_SIMULATION_HPP
#define MINTKNOT_POLICY_TESTS_SHARED_DOMAIN_SIMULATION_HPP

#include "engine_pool_simulation.hpp"

#include <mintknot/policy/admission.hpp>
#include <mintknot/policy/domain_admission.hpp>
#include <mintknot/policy/group.hpp>

#include <map>
#include <string>
#include <utility>
#include <vector>

namespace mintknot::policy::tests {

using base::milliseconds;

/// From placement to the first event.
inline constexpr milliseconds start_time{150};
inline constexpr double engine_memory_tokens = 72923.0;
inline constexpr double mean_stream_tokens = 7850.0;
inline constexpr milliseconds mean_stream_time{3000};

/// After which a lost question is asked again.
inline constexpr milliseconds lost_question_delay{30};

/// What callers of one kind got.
struct shares_seen {
    int callers = 0;
    int in_time = 0; ///< Served within the target, counted from the first try.
    int late = 0;
    int refused = 0; ///< At least once.
    int refused_twice = 0;

    double in_time_share() const {
        return callers == 0 ? 1.0 : static_cast<double>(in_time) / callers;
    }
};

struct domain_options {
    std::size_t instances = 76;
    int engines = 27;
    bool shares = true; ///< false: whoever comes first.
    /// Callers and placements of this time count.
    milliseconds counted_from{6000};
    milliseconds counted_until{12000};
    /// Results are by data centre instead of by organisation.
    bool by_data_centre = false;
    double lost_questions = 0.0;
    milliseconds scheduler_replaced_at{0}; ///< 0: never.
    /// By priority.
    std::map<int, milliseconds> targets{
        {0, milliseconds{800}},
        {1, milliseconds{900}},
        {2, milliseconds{2000}}};
};

/// Streams per second that the engines can hold.
inline double capacity_per_second(int engines) {
    return engines * engine_memory_tokens * 0.9 / mean_stream_tokens / 3.0;
}

/// Runs callers against one domain.
class shared_domain {
public:
    explicit shared_domain(domain_options options)
        : options_(std::move(options))
        , pool_(options_.engines, 1, engine_memory_tokens, mean_stream_time)
        , states_(is_large_group(options_.instances) ? 1 : options_.instances) {
    }

    std::map<std::pair<int, std::string>, shares_seen>
    run(std::vector<simulated_caller> callers) {
        records_.assign(callers.size() + 1, {});
        run_callers(callers, [&](simulated_caller& caller, auto now) {
            return attempt(caller, now);
        });
        std::map<std::pair<int, std::string>, shares_seen> seen;
        for (const simulated_caller& caller : callers) {
            const auto since = caller.first_try - simulation_start;
            if (since < options_.counted_from ||
                since >= options_.counted_until)
                continue;
            const record& end = records_[caller.digest];
            shares_seen& kind = seen[{
                caller.priority, options_.by_data_centre
                                     ? caller.data_centre
                                     : caller.organisation}];
            ++kind.callers;
            kind.in_time += end.placed && end.in_time ? 1 : 0;
            kind.late += end.placed && !end.in_time ? 1 : 0;
            kind.refused += end.refusals > 0 ? 1 : 0;
            kind.refused_twice += end.refusals > 1 ? 1 : 0;
        }
        return seen;
    }

    /// Tokens placed while it counts, by priority.
    std::map<int, double> placed_tokens;

private:
    struct record {
        bool placed = false;
        bool in_time = false;
        bool waiting = false;
        int refusals = 0;
        base::steady_time arrived{}; ///< Of the present try.
    };

    milliseconds target_of(const simulated_caller& caller) const {
        return options_.targets.at(caller.priority);
    }

    domain_admission_state& state_of(const simulated_caller& caller) {
        return states_[caller.digest % states_.size()];
    }

    placement ask(const simulated_caller& caller, base::steady_time now) {
        selection_inputs inputs = pool_.inputs("", now);
        inputs.own_data_centre = caller.data_centre;
        inputs.instances = options_.instances;
        inputs.all_loads_known = is_large_group(options_.instances);
        placement_query query;
        query.service = "llm";
        query.kind = placement_kind::decode;
        query.memory_tokens = caller.tokens;
        if (!options_.shares)
            return choose_servers(inputs, query);
        const record& end = records_[caller.digest];
        const auto waited =
            std::chrono::duration_cast<milliseconds>(now - end.arrived);
        query.claim.emplace();
        query.claim->priority = caller.priority;
        query.claim->organisation = caller.organisation;
        query.claim->target_left =
            std::max(milliseconds{0}, target_of(caller) - waited);
        query.claim->caller_retry = end.refusals > 0;
        if (query.claim->caller_retry)
            query.claim->digest = caller.digest;
        query.claim->waiting = end.waiting;
        return place_claim(state_of(caller), inputs, query);
    }

    base::steady_time attempt(simulated_caller& caller, base::steady_time now) {
        pool_.advance(now);
        replace_scheduler(now);
        record& end = records_[caller.digest];
        if (!end.waiting)
            end.arrived = now;
        if (std::uniform_real_distribution<double>(0.0, 1.0)(random_) <
            options_.lost_questions)
            return now + lost_question_delay;
        const placement placed = ask(caller, now);
        if (placed.server.empty())
            return after_denial(caller, placed, now);
        pool_.reserve(placed.server, caller.tokens, now + caller.hold_time);
        const auto since = now - simulation_start;
        if (since >= options_.counted_from && since < options_.counted_until)
            placed_tokens[caller.priority] += caller.tokens;
        end.placed = true;
        end.in_time = now + start_time <= caller.first_try + target_of(caller);
        return now;
    }

    /// The request waits if it can still meet its target; otherwise its caller
    /// returns once, after a third of the time that it has left.
    base::steady_time after_denial(
        const simulated_caller& caller, const placement& placed,
        base::steady_time now) {
        record& end = records_[caller.digest];
        auto expected = placed.capacity.forecast.wait;
        if (expected && placed.expected_wait)
            expected = std::max(*expected, *placed.expected_wait);
        const unplaced_request unplaced{
            std::chrono::duration_cast<milliseconds>(now - end.arrived),
            target_of(caller),
            std::chrono::duration_cast<milliseconds>(caller.deadline - now)};
        end.waiting = should_wait(unplaced, expected, start_time);
        if (end.waiting)
            return now + time_between_questions();
        if (++end.refusals > 1)
            return now;
        return obeyed_return(caller, milliseconds{14000}, now);
    }

    milliseconds time_between_questions() const {
        return milliseconds{is_large_group(options_.instances) ? 60 : 15};
    }

    /// The next scheduler starts without knowledge.
    void replace_scheduler(base::steady_time now) {
        if (replaced_ || options_.scheduler_replaced_at == milliseconds{0} ||
            now < simulation_start + options_.scheduler_replaced_at)
            return;
        replaced_ = true;
        states_.assign(states_.size(), {});
    }

    domain_options options_;
    engine_pool pool_;
    std::vector<domain_admission_state> states_;
    std::vector<record> records_;
    std::minstd_rand random_{5};
    bool replaced_ = false;
};

} // namespace mintknot::policy::tests

#endif
