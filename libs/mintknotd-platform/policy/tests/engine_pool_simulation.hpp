/// @file
/// A pool of decode engines and callers in virtual time, for load tests of
/// decisions on capacity. No network, and no model of prefill.
#ifndef MINTKNOT_POLICY_TESTS_ENGINE_POOL_SIMULATION_HPP
#define MINTKNOT_POLICY_TESTS_ENGINE_POOL_SIMULATION_HPP

#include <mintknot/policy/placement.hpp>

#include <algorithm>
#include <cstdint>
#include <functional>
#include <queue>
#include <random>
#include <string>
#include <utility>
#include <vector>

namespace mintknot::policy::tests {

inline const base::steady_time simulation_start =
    base::steady_time{} + std::chrono::hours(1);

/// Engines whose loads are known exactly, as at a scheduler. Engine number i is
/// in data centre i modulo `data_centres`: "0", "1" and so on.
class engine_pool {
public:
    engine_pool(
        int engines, int data_centres, double memory_tokens,
        base::milliseconds mean_hold_time)
        : mean_hold_time_(mean_hold_time) {
        service_.name = "llm";
        service_.max_connections = 100000;
        service_.engine.emplace();
        service_.engine->memory_tokens =
            static_cast<std::uint64_t>(memory_tokens);
        for (int i = 0; i < engines; ++i) {
            traffic::server row;
            row.id = "e" + std::to_string(i);
            row.service = service_.name;
            row.slots = 64;
            row.phase = traffic::engine_phase::decode;
            row.data_centre = std::to_string(i % data_centres);
            traffic::apply(
                table_, row.id, static_cast<std::uint64_t>(i) + 1, row);
        }
    }

    /// @param data_centre of the domain; empty: one domain.
    selection_inputs
    inputs(const std::string& data_centre, base::steady_time now) {
        selection_inputs result{
            table_,
            loads_,
            health_,
            rates_,
            service_,
            data_centre,
            1,
            now,
            [this] {
                return std::uniform_real_distribution<double>(0.0, 1.0)(
                    random_);
            }};
        result.only_data_centre = data_centre;
        result.mean_hold_time = mean_hold_time_;
        result.all_loads_known = true;
        return result;
    }

    /// Reserves memory of an engine until a time.
    void
    reserve(const std::string& engine, double tokens, base::steady_time until) {
        const traffic::server_load load{1, 0.0, tokens};
        traffic::add(loads_, engine, load);
        running_.push({until, engine, load});
    }

    /// Frees what has ended by then. To be called before each decision.
    void advance(base::steady_time now) {
        for (; !running_.empty() && running_.top().until <= now; running_.pop())
            traffic::remove(loads_, running_.top().engine, running_.top().load);
    }

private:
    struct running_stream {
        base::steady_time until;
        std::string engine;
        traffic::server_load load;
        bool operator<(const running_stream& other) const {
            return until > other.until;
        }
    };

    traffic::service service_;
    traffic::server_table table_;
    traffic::load_view loads_;
    health_view health_;
    prefill_rates rates_;
    base::milliseconds mean_hold_time_;
    std::priority_queue<running_stream> running_;
    std::minstd_rand random_{1};
};

/// A caller with one request, over all its tries.
struct simulated_caller {
    std::uint64_t digest = 0; ///< Also its number, from 1.
    int priority = 1;
    std::string organisation;
    std::string data_centre;
    double tokens = 0.0;
    base::milliseconds hold_time{0}; ///< Once it has been placed.
    base::steady_time first_try;
    base::steady_time deadline;
    int tries = 0; ///< Before the present one.
};

/// One kind of callers. Sizes and hold times vary around the means.
struct caller_kind {
    double per_second = 31.0;
    double burst_factor = 1.0; ///< Of the rate, during the burst.
    base::milliseconds burst_begin{0};
    base::milliseconds burst_length{0};
    int priority = 1;
    std::string organisation{};
    double mean_tokens = 7850.0;
    base::milliseconds mean_hold_time{3000};
    base::milliseconds deadline{14000};
};

/// Appends the callers of one kind, with Poisson arrivals.
inline void add_callers(
    std::vector<simulated_caller>& callers, const caller_kind& kind,
    int data_centres, base::milliseconds length, unsigned seed) {
    std::mt19937 random(seed);
    std::lognormal_distribution<double> size(-0.08, 0.4); // Mean 1.
    std::uniform_real_distribution<double> spread(0.6, 1.4);
    const auto in_burst = [&](base::steady_time at) {
        const auto since = at - simulation_start - kind.burst_begin;
        return since >= base::milliseconds{0} && since < kind.burst_length;
    };
    base::steady_time at = simulation_start;
    while (at < simulation_start + length) {
        const double rate =
            kind.per_second * (in_burst(at) ? kind.burst_factor : 1.0);
        at += std::chrono::duration_cast<base::steady_time::duration>(
            std::chrono::duration<double>(
                std::exponential_distribution<double>(rate)(random)));
        simulated_caller caller;
        caller.digest = callers.size() + 1;
        caller.priority = kind.priority;
        caller.organisation = kind.organisation;
        caller.data_centre =
            std::to_string(random() % static_cast<unsigned>(data_centres));
        caller.tokens = kind.mean_tokens * size(random);
        caller.hold_time = base::milliseconds(static_cast<std::int64_t>(
            static_cast<double>(kind.mean_hold_time.count()) * spread(random)));
        caller.first_try = at;
        caller.deadline = at + kind.deadline;
        callers.push_back(std::move(caller));
    }
}

/// Runs the tries of all callers in the order of their times.
/// @param try_at carries out a try. @return when the caller returns; a time
/// that is not after `now`: never.
inline void run_callers(
    std::vector<simulated_caller>& callers,
    const std::function<base::steady_time(
        simulated_caller& caller, base::steady_time now)>& try_at) {
    using entry = std::pair<base::steady_time, std::size_t>;
    std::priority_queue<entry, std::vector<entry>, std::greater<>> due;
    for (std::size_t i = 0; i < callers.size(); ++i)
        due.push({callers[i].first_try, i});
    while (!due.empty()) {
        const auto [now, index] = due.top();
        due.pop();
        const base::steady_time next = try_at(callers[index], now);
        ++callers[index].tries;
        if (next > now)
            due.push({next, index});
    }
}

/// @return when a caller returns that is told a Retry-After: callers wait for
/// at most a third of the time that they have left.
inline base::steady_time obeyed_return(
    const simulated_caller& caller, base::milliseconds retry_after,
    base::steady_time now) {
    return now + std::min<base::steady_time::duration>(
                     retry_after, (caller.deadline - now) / 3);
}

} // namespace mintknot::policy::tests

#endif
