/// @file
/// Simulates, in virtual time, plain calls of a large group to a few servers,
/// with and without the results of all peers at the scheduler. Guards against
/// calls that go on to servers which lose answers, and against single warnings
/// that take healthy servers away.

#include <mintknot/policy/placement.hpp>

#include <criterion/criterion.h>

#include <algorithm>
#include <array>
#include <deque>
#include <queue>
#include <random>
#include <vector>

using namespace mintknot;
using namespace mintknot::policy;
using base::milliseconds;

namespace {

const base::steady_time begin = base::steady_time{} + std::chrono::hours(1);
constexpr std::size_t servers = 10;
constexpr std::size_t slots = 6;
constexpr std::size_t max_in_flight = 30; ///< Slots and queue places.
constexpr milliseconds service_time{60};
constexpr milliseconds report_delay{60};

/// The load and the faults.
struct simulation_options {
    bool results_reported = true;
    double calls_per_second = 333.0; ///< Capacity of all servers: 1,000.
    std::size_t lossy_servers = 0;   ///< Number of servers that lose answers.
    double lost_share = 0.4;
    /// Interval at which an instance warns of some healthy server; 0: never.
    milliseconds warning_gap{0};
    milliseconds warning_length{1500};
    unsigned seed = 1;
};

/// Counts of calls and their failures.
struct outcome {
    int calls = 0;
    int lost = 0;
    int rejected = 0; ///< By a full server.
    double lost_share() const { return static_cast<double>(lost) / calls; }
    double rejected_share() const {
        return static_cast<double>(rejected) / calls;
    }
};

/// A call in flight, or a result on its way to the scheduler.
struct call {
    std::size_t server = 0;
    base::steady_time ends;
    bool lost = false;
    bool operator>(const call& other) const { return ends > other.ends; }
};

std::string name_of(std::size_t server) {
    return "i" + std::to_string(server);
}

class simulation {
public:
    explicit simulation(const simulation_options& options)
        : options_(options)
        , random_(options.seed) {
        service_.name = "s";
        service_.max_connections = 100000;
        for (std::size_t i = 0; i < servers; ++i) {
            traffic::server row;
            row.id = name_of(i);
            row.service = "s";
            row.slots = slots;
            traffic::apply(table_, row.id, i + 1, row);
        }
    }

    /// Counts calls after a warm-up of one second.
    outcome run(std::chrono::seconds time) {
        std::exponential_distribution<double> gap(options_.calls_per_second);
        while (now_ < begin + time) {
            now_ += std::chrono::duration_cast<base::steady_time::duration>(
                std::chrono::duration<double>(gap(random_)));
            end_calls();
            inject_warning();
            place();
            if (now_ < begin + std::chrono::seconds(1))
                seen_ = {};
        }
        return seen_;
    }

private:
    double draw() {
        return std::uniform_real_distribution<double>(0.0, 1.0)(random_);
    }

    void place() {
        const selection_inputs inputs{
            table_, loads_,   health_,
            rates_, service_, "",
            295,    now_,     [this] { return draw(); }};
        placement_query query;
        query.service = "s";
        const std::string chosen = choose_servers(inputs, query).server;
        cr_assert(!chosen.empty());
        const auto server = static_cast<std::size_t>(chosen.back() - '0');
        ++seen_.calls;
        if (traffic::total(loads_, chosen).calls >=
            static_cast<int>(max_in_flight)) {
            ++seen_.rejected;
            return;
        }
        traffic::add(loads_, chosen, {1, 0.0, 0.0});
        const bool lost =
            server < options_.lossy_servers && draw() < options_.lost_share;
        seen_.lost += lost ? 1 : 0;
        auto slot =
            std::min_element(busy_[server].begin(), busy_[server].end());
        *slot = std::max(*slot, now_) + service_time;
        open_.push({server, *slot, lost});
    }

    void end_calls() {
        while (!open_.empty() && open_.top().ends <= now_) {
            traffic::remove(loads_, name_of(open_.top().server), {1, 0.0, 0.0});
            reports_.push_back(open_.top());
            open_.pop();
        }
        while (!reports_.empty() &&
               reports_.front().ends + report_delay <= now_) {
            const call& ended = reports_.front();
            if (options_.results_reported)
                note_peer_results(
                    health_,
                    {{name_of(ended.server),
                      {ended.lost ? 0 : 1, ended.lost ? 1 : 0}}},
                    now_);
            reports_.pop_front();
        }
    }

    void inject_warning() {
        if (options_.warning_gap.count() == 0 ||
            now_ - last_warning_ < options_.warning_gap)
            return;
        last_warning_ = now_;
        note_peer_warning(
            health_, name_of(random_() % servers),
            now_ + options_.warning_length, now_);
    }

    simulation_options options_;
    std::minstd_rand random_;
    traffic::service service_;
    traffic::server_table table_;
    traffic::load_view loads_;
    health_view health_;
    prefill_rates rates_;
    base::steady_time now_ = begin;
    base::steady_time last_warning_ = begin;
    std::array<std::array<base::steady_time, slots>, servers> busy_{};
    std::priority_queue<call, std::vector<call>, std::greater<>> open_;
    std::deque<call> reports_;
    outcome seen_;
};

constexpr unsigned seeds = 10;

} // namespace

Test(shared_results, calls_move_away_from_lossy_servers) {
    simulation_options options;
    options.lossy_servers = 6;
    for (options.seed = 1; options.seed <= seeds; ++options.seed) {
        options.results_reported = false;
        const outcome before = simulation(options).run(std::chrono::seconds(5));
        options.results_reported = true;
        const outcome after = simulation(options).run(std::chrono::seconds(5));
        cr_log_info(
            "lost %.3f without, %.3f with", before.lost_share(),
            after.lost_share());
        cr_assert(before.lost_share() > 0.2, "%.3f", before.lost_share());
        cr_assert(after.lost_share() < 0.1, "%.3f", after.lost_share());
    }
}

Test(shared_results, single_warnings_do_not_remove_servers) {
    simulation_options options;
    options.calls_per_second = 780.0;
    options.warning_gap = milliseconds(500);
    for (options.seed = 1; options.seed <= seeds; ++options.seed) {
        options.results_reported = false;
        const outcome before =
            simulation(options).run(std::chrono::seconds(10));
        options.results_reported = true;
        const outcome after = simulation(options).run(std::chrono::seconds(10));
        cr_log_info(
            "rejected %.3f without, %.3f with", before.rejected_share(),
            after.rejected_share());
        cr_assert(before.rejected_share() > 0.0);
        cr_assert(after.rejected == 0, "%.3f", after.rejected_share());
    }
}
