/// @file
/// Simulates, in virtual time, generation requests of very different sizes on
/// decode engines that are nearly full. Guards against free memory that is
/// spread over all engines in pieces too small for large requests.

#include <mintknot/policy/placement.hpp>

#include <criterion/criterion.h>

#include <algorithm>
#include <cmath>
#include <queue>
#include <random>
#include <vector>

using namespace mintknot;
using namespace mintknot::policy;
using base::milliseconds;

namespace {

const base::steady_time begin = base::steady_time{} + std::chrono::hours(1);
constexpr double memory_tokens = 28650.0;

/// A domain and its load.
struct simulation_options {
    int engines = 38;
    double requests_per_second = 100.0;
    double mean_prompt = 3200.0;
    double max_prompt = 6800.0;
    double spread = 0.5; ///< Standard deviation of the logarithm.
    milliseconds mean_hold_time{2200};
    unsigned seed = 1;
};

/// Counts of requests and refusals.
struct outcome {
    int requests = 0;
    int refused = 0;
    int large = 0; ///< Prompts of more than 1.15 times the mean.
    int large_refused = 0;

    double refused_share() const {
        return static_cast<double>(refused) / requests;
    }
    double large_refused_share() const {
        return static_cast<double>(large_refused) / large;
    }
};

/// A running request and the memory that it holds.
struct running_request {
    base::steady_time until;
    std::string server;
    traffic::server_load load;
    bool operator>(const running_request& other) const {
        return until > other.until;
    }
};

class simulation {
public:
    explicit simulation(const simulation_options& options)
        : options_(options)
        , random_(options.seed) {
        service_.name = "s";
        service_.max_connections = 100000;
        service_.engine.emplace();
        service_.engine->memory_tokens =
            static_cast<std::int64_t>(memory_tokens);
        for (int i = 0; i < options_.engines; ++i) {
            traffic::server row;
            row.id = "i" + std::to_string(i);
            row.service = "s";
            row.slots = 12;
            row.phase = traffic::engine_phase::decode;
            traffic::apply(
                table_, row.id, static_cast<std::uint64_t>(i) + 1, row);
        }
    }

    /// Counts requests after a warm-up of five seconds, in which the engines
    /// fill.
    outcome run(std::chrono::seconds time) {
        const auto counted_from = begin + std::chrono::seconds(5);
        std::exponential_distribution<double> gap(options_.requests_per_second);
        outcome seen;
        while (now_ < begin + time) {
            now_ += std::chrono::duration_cast<base::steady_time::duration>(
                std::chrono::duration<double>(gap(random_)));
            end_requests();
            const double prompt = draw_prompt();
            const bool placed = place(prompt);
            if (now_ < counted_from)
                continue;
            const bool large = prompt > options_.mean_prompt * 1.15;
            ++seen.requests;
            seen.refused += placed ? 0 : 1;
            seen.large += large ? 1 : 0;
            seen.large_refused += large && !placed ? 1 : 0;
        }
        return seen;
    }

private:
    double draw() {
        return std::uniform_real_distribution<double>(0.0, 1.0)(random_);
    }

    double draw_prompt() {
        const double middle = std::log(options_.mean_prompt) -
                              options_.spread * options_.spread / 2.0;
        std::lognormal_distribution<double> size(middle, options_.spread);
        return std::min(size(random_), options_.max_prompt);
    }

    bool place(double prompt) {
        selection_inputs inputs{table_, loads_,   health_,
                                rates_, service_, "",
                                1,      now_,     [this] { return draw(); }};
        inputs.all_loads_known = true;
        placement_query query;
        query.service = "s";
        query.kind = placement_kind::decode;
        query.memory_tokens = prompt + 500.0;
        const std::string server = choose_servers(inputs, query).server;
        if (server.empty())
            return false;
        const traffic::server_load load{1, 0.0, query.memory_tokens};
        traffic::add(loads_, server, load);
        std::exponential_distribution<double> hold(
            1.0 /
            std::chrono::duration<double>(options_.mean_hold_time).count());
        const auto time =
            std::chrono::duration_cast<base::steady_time::duration>(
                std::chrono::duration<double>(hold(random_)));
        open_.push({now_ + time, server, load});
        return true;
    }

    void end_requests() {
        while (!open_.empty() && open_.top().until <= now_) {
            traffic::remove(loads_, open_.top().server, open_.top().load);
            open_.pop();
        }
    }

    simulation_options options_;
    std::minstd_rand random_;
    traffic::service service_;
    traffic::server_table table_;
    traffic::load_view loads_;
    health_view health_;
    prefill_rates rates_;
    base::steady_time now_ = begin;
    std::priority_queue<
        running_request, std::vector<running_request>, std::greater<>>
        open_;
};

constexpr unsigned seeds = 10;

outcome simulate_seeds(simulation_options options) {
    outcome sum;
    for (options.seed = 1; options.seed <= seeds; ++options.seed) {
        const outcome seen = simulation(options).run(std::chrono::seconds(35));
        sum.requests += seen.requests;
        sum.refused += seen.refused;
        sum.large += seen.large;
        sum.large_refused += seen.large_refused;
    }
    return sum;
}

} // namespace

Test(decode_packing, large_requests_fit_on_nearly_full_engines) {
    simulation_options options;
    options.requests_per_second = 110.0;
    const outcome seen = simulate_seeds(options);
    cr_assert(seen.refused_share() < 0.005, "%.4f", seen.refused_share());
    cr_assert(
        seen.large_refused_share() < 0.015, "%.4f", seen.large_refused_share());
}

Test(decode_packing, overload_does_not_refuse_only_large_requests) {
    simulation_options options;
    options.requests_per_second = 120.0;
    const outcome seen = simulate_seeds(options);
    cr_assert(seen.refused_share() < 0.02, "%.4f", seen.refused_share());
    cr_assert(
        seen.large_refused_share() < 0.05, "%.4f", seen.large_refused_share());
}
