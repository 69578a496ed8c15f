/// @file
/// Callers of deployment 2 that return as they are told, in a burst, in virtual
/// time.
#ifndef MINTKNOT_POLICY_TESTS_BURST_SIMULATION_HPP
#define MINTKNOT_POLICY_TESTS_BURST_SIMULATION_HPP

#include "engine_pool_simulation.hpp"

#include <mintknot/policy/admission.hpp>
#include <mintknot/policy/domain_admission.hpp>
#include <mintknot/policy/retry_after.hpp>

#include <algorithm>
#include <functional>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace mintknot::policy::tests {

using base::milliseconds;

inline constexpr double engine_memory_tokens = 69953.0;
inline constexpr int data_centres = 3;
/// Deployment 2: 27 decode engines in 76 instances, 32.1 streams per second,
/// each of 5,200 tokens of prompt and 69 events of 64 tokens.
inline constexpr double engines_per_instance = 27.0 / 76.0;
inline constexpr double streams_per_second = 32.1;
inline constexpr double mean_tokens = 9616.0;

struct scenario {
    int instances = 76;
    bool previous_rule = false;
    double burst_factor = 2.0; ///< Of the load, for 4 s.
    /// Not among those used while the rule was tuned, 7 to 26.
    unsigned seed = 2001;
    int schedulers = 1;   ///< Of one domain, by turns of callers and tries.
    bool cut_off = false; ///< Data centres do not reach each other.
    /// When all schedulers lose their state; nothing: never.
    milliseconds restart{0};
    /// @return whether the datagrams of a refusal are lost.
    std::function<bool()> lost{};
};

struct outcome {
    int callers = 0;
    int served_first = 0;
    int refused = 0;       ///< Callers, at their first try.
    int refused_again = 0; ///< Of them, at their first return.
    int promised = 0;      ///< Returned at the promised time,
    int served_on_time = 0;
    int beyond = 0; ///< Times that callers cannot obey, except final ones.
    int final_refusals = 0;

    outcome& operator+=(const outcome& other) {
        callers += other.callers;
        served_first += other.served_first;
        refused += other.refused;
        refused_again += other.refused_again;
        promised += other.promised;
        served_on_time += other.served_on_time;
        beyond += other.beyond;
        final_refusals += other.final_refusals;
        return *this;
    }

    double first_share() const { return 1.0 * served_first / callers; }
    double on_time_share() const {
        return promised == 0 ? 0.0 : 1.0 * served_on_time / promised;
    }
    double again_share() const {
        return refused == 0 ? 0.0 : 1.0 * refused_again / refused;
    }
};

class burst_simulation {
public:
    explicit burst_simulation(const scenario& options)
        : options_(options)
        , engines_(std::max(
              9, static_cast<int>(options.instances * engines_per_instance)))
        , pool_(
              engines_, data_centres, engine_memory_tokens,
              milliseconds{3000}) {
        caller_kind kind;
        kind.mean_tokens = mean_tokens;
        kind.per_second = streams_per_second * engines_ / 27.0;
        kind.burst_factor = options.burst_factor;
        kind.burst_begin = milliseconds{12000};
        kind.burst_length = milliseconds{4000};
        add_callers(
            callers_, kind, data_centres, milliseconds{30000}, options.seed);
    }

    outcome run() {
        run_callers(
            callers_, [this](simulated_caller& caller, base::steady_time now) {
                return try_at(caller, now);
            });
        seen_.callers = static_cast<int>(callers_.size());
        return seen_;
    }

private:
    /// One caller in twenty returns at once, whatever it is told, four times;
    /// of the others one in five returns twice.
    static bool is_impatient(const simulated_caller& caller) {
        return caller.digest % 20 == 0;
    }
    static int max_tries(const simulated_caller& caller) {
        if (is_impatient(caller))
            return 5;
        return caller.digest % 5 == 0 ? 3 : 2;
    }

    bool scheduled() const { return options_.instances > 24; }
    bool split() const { return scheduled() && engines_ > 24; }

    /// @return domains in the order in which the caller's instance asks.
    std::vector<std::string> domains_of(const simulated_caller& caller) const {
        if (!split())
            return {""};
        std::vector<std::string> result = {caller.data_centre};
        if (options_.cut_off)
            return result;
        for (int i = 0; i < data_centres; ++i)
            if (std::to_string(i) != caller.data_centre)
                result.push_back(std::to_string(i));
        return result;
    }

    /// The state of the scheduler or, without one, of the caller's instance,
    /// which is another one at each try.
    domain_admission_state&
    state_of(const std::string& domain, const simulated_caller& caller) {
        const auto instance = static_cast<int>(
            (caller.digest * 7 + static_cast<unsigned>(caller.tries) * 5) %
            static_cast<unsigned>(options_.instances));
        return states_[{
            domain, scheduled() ? instance % options_.schedulers : instance}];
    }

    selection_inputs inputs_of(
        const std::string& domain, const simulated_caller& caller,
        base::steady_time now) {
        selection_inputs inputs = pool_.inputs(domain, now);
        inputs.own_data_centre = caller.data_centre;
        inputs.all_loads_known = scheduled();
        inputs.instances =
            static_cast<std::size_t>(std::max(10, options_.instances));
        return inputs;
    }

    placement_query
    query_of(const simulated_caller& caller, base::steady_time now) const {
        placement_query query;
        query.service = "llm";
        query.kind = placement_kind::decode;
        query.memory_tokens = caller.tokens;
        capacity_claim claim;
        claim.priority = caller.priority;
        claim.deadline_left = base::time_left(caller.deadline, now);
        claim.caller_retry =
            was_refused_before({milliseconds{14000}, now}, claim.deadline_left);
        claim.digest = caller.digest;
        query.claim = claim;
        return query;
    }

    base::steady_time try_at(simulated_caller& caller, base::steady_time now) {
        if (options_.restart > milliseconds{0} &&
            now > simulation_start + options_.restart) {
            options_.restart = milliseconds{0};
            states_.clear();
        }
        pool_.advance(now);
        const placement_query query = query_of(caller, now);
        bool served = false;
        capacity_forecast forecast;
        for (const std::string& domain : domains_of(caller)) {
            const selection_inputs inputs = inputs_of(domain, caller, now);
            const placement placed =
                options_.previous_rule
                    ? choose_servers(inputs, query)
                    : place_claim(state_of(domain, caller), inputs, query);
            served = !placed.server.empty();
            if (served) {
                pool_.reserve(
                    placed.server, caller.tokens, now + caller.hold_time);
                break;
            }
            forecast = merge_forecasts(forecast, placed.capacity.forecast);
        }
        count(caller, served);
        if (served || caller.tries + 1 >= max_tries(caller))
            return now;
        return return_of(caller, query, forecast, now);
    }

    void count(const simulated_caller& caller, bool served) {
        if (caller.tries == 0) {
            seen_.served_first += served ? 1 : 0;
            seen_.refused += served ? 0 : 1;
        } else if (caller.tries == 1 && !is_impatient(caller)) {
            seen_.refused_again += served ? 0 : 1;
            seen_.promised += told_[caller.digest] ? 1 : 0;
            seen_.served_on_time += told_[caller.digest] && served ? 1 : 0;
        }
    }

    base::steady_time return_of(
        const simulated_caller& caller, placement_query query,
        const capacity_forecast& forecast, base::steady_time now) {
        const milliseconds left = query.claim->deadline_left;
        const auto told = [&] {
            if (!options_.previous_rule && !(options_.lost && options_.lost()))
                return planned(caller, query, forecast, now);
            milliseconds value = schedule_retry_after(
                previous_[static_cast<int>(caller.digest) % options_.instances],
                {forecast, forecast.wait, caller.tokens,
                 static_cast<std::size_t>(std::max(10, options_.instances))},
                now);
            if (!options_.previous_rule)
                value = bounded_retry_after(value, left);
            seen_.beyond += value > left / 3 ? 1 : 0;
            told_[caller.digest] = true;
            return value;
        }();
        if (is_impatient(caller))
            return now + milliseconds{20};
        return obeyed_return(caller, told, now) + milliseconds{2};
    }

    milliseconds planned(
        const simulated_caller& caller, placement_query& query,
        const capacity_forecast& forecast, base::steady_time now) {
        query.claim->digest = caller.digest;
        const std::string domain = domains_of(caller).front();
        const return_decision decision = plan_return(
            state_of(domain, caller), inputs_of(domain, caller, now), query,
            forecast.wait.value_or(milliseconds{0}));
        const bool promised = decision.kind == return_kind::promised;
        told_[caller.digest] = promised;
        seen_.final_refusals += decision.kind == return_kind::refused ? 1 : 0;
        if (decision.kind == return_kind::unknown)
            return bounded_retry_after(
                milliseconds{0}, query.claim->deadline_left);
        const milliseconds longest = query.claim->deadline_left / 3;
        seen_.beyond += promised && decision.retry_after > longest ? 1 : 0;
        return decision.retry_after;
    }

    scenario options_;
    int engines_;
    engine_pool pool_;
    std::vector<simulated_caller> callers_;
    std::map<std::pair<std::string, int>, domain_admission_state> states_;
    std::map<int, retry_after_schedule> previous_;
    std::map<std::uint64_t, bool> told_; ///< Whether a time was assigned.
    outcome seen_;
};

} // namespace mintknot::policy::tests

#endif
