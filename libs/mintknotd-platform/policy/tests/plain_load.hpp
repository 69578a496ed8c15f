/// @file
/// Plain calls of a group to servers with slots and bounded queues, in virtual
/// time, with the delays of reports between instances.
#ifndef MINTKNOT_POLICY_TESTS_PLAIN_LOAD_HPP
#define MINTKNOT_POLICY_TESTS_PLAIN_LOAD_HPP

#include <mintknot/policy/domain_admission.hpp>

#include <functional>
#include <map>
#include <queue>
#include <random>
#include <string>
#include <tuple>
#include <vector>

namespace mintknot::policy::tests {

struct server_spec {
    int slots = 6;
    double service_ms = 60.0;
    int queue = 24;
    double failing_share = 0.0; ///< Of its calls, which fail after 1 ms.
};

/// A part of the callers.
struct caller_kind {
    int priority = 2;
    double load = 2.0;          ///< First tries, in multiples of the capacity.
    double heeding_share = 0.8; ///< Callers who heed Retry-After.
    int max_returns = 2;
    double target_ms = 300.0;
};

struct load_options {
    bool admission = true; ///< False: the rule without claims.
    std::size_t instances = 76;
    std::vector<server_spec> servers = std::vector<server_spec>(6);
    std::vector<caller_kind> kinds = {{}};
    double calm_load = 0.3; ///< Before the burst, for a second.
    int burst_ms = 6000;
    bool exponential = true; ///< Distribution of service times; else constant.
    double lost_reports = 0.0;
    bool repeat_empty_reports = true; ///< Once, as load_reporter does.
    bool ignore_shortage = false;     ///< As if no denial had been recorded.
    unsigned seed = 1;
};

/// What callers of one kind got in the burst, by tries.
struct load_result {
    int callers = 0;
    int tries = 0; ///< Of these callers, their returns included.
    int in_time = 0;
    int late = 0;
    int refused = 0;
    int failed = 0;
};

/// Runs the load. All times are in milliseconds from the start; the burst
/// begins at 1,000.
class plain_load {
public:
    explicit plain_load(load_options options);

    /// Does something at a time, for example a fault.
    void at(double ms, std::function<void()> what);
    void run();

    // Faults.
    void replace_scheduler();
    void remove_server(std::size_t number);
    void rest_server(std::size_t number, base::milliseconds time);
    void limit_server(std::size_t number, double rate);

    /// Tries that began in the burst, by kind.
    std::vector<load_result> results;
    int sent = 0;     ///< Arrivals at servers.
    int rejected = 0; ///< Of them, by full servers.
    int repeats = 0;  ///< Sends after a rejection.
    /// The longest time from a call's arrival to its refusal by the router.
    double longest_refusal_ms = 0.0;
    std::vector<int> sent_to; ///< By server.

    /// @return calls that the servers complete in the time of the burst.
    double capacity() const;
    /// @return calls of the burst that the servers could complete in time, with
    /// the service times that were drawn.
    double possible() const;
    /// @return calls served in time as a share of possible().
    double in_time_share() const;
    double rejected_share() const;

private:
    struct instance {
        traffic::load_view loads;
        health_view health;
        service_times times;
        domain_admission_state admission;
        double last_report_ms = -1000.0;
        bool report_due = false;
        bool load_counted = false; ///< By the scheduler, since the last report.
        std::size_t reports = 0;
    };
    struct call {
        std::size_t kind = 0;
        std::size_t instance = 0;
        double arrived_ms = 0.0;
        double sent_ms = 0.0;
        int returns = 0;
        bool heeded = false; ///< Its caller returned at the time it was told.
        int rejections = 0;
        excluded_servers tried;
        std::size_t server = 0;
        std::optional<plain_forecast> forecast;
        bool in_burst = false;
    };
    struct backend {
        server_spec spec;
        int running = 0;
        std::queue<call> waiting;
    };
    struct event {
        double ms;
        std::size_t number;
        std::function<void()> what;
        bool operator>(const event& other) const {
            return std::tie(ms, number) > std::tie(other.ms, other.number);
        }
    };

    bool has_scheduler() const { return options_.instances > 24; }
    instance& decider(std::size_t asking) {
        return instances_[has_scheduler() ? 0 : asking];
    }
    base::steady_time now() const;
    double draw();
    void arrive(std::size_t kind);
    void begin(call value);
    void place(call value);
    void decide(call value);
    void refuse(const call& value);
    void reach(call value);
    void start(const call& value);
    void end(const call& value, bool good);
    void reject(call value);
    /// The budget of repeated sends bounds the rule without claims; with them
    /// it is a bound to be tested.
    bool is_budget_spent() const;
    void schedule_report(std::size_t from);
    void report(std::size_t from);
    /// Schedules the report that follows if no load changes meanwhile.
    void schedule_next_report(std::size_t from);

    load_options options_;
    std::minstd_rand random_;
    traffic::service service_;
    traffic::server_table table_;
    prefill_rates rates_;
    std::vector<instance> instances_;
    std::vector<backend> servers_;
    std::priority_queue<event, std::vector<event>, std::greater<>> events_;
    std::size_t events_added_ = 0;
    double now_ms_ = 0.0;
    /// Of all calls that were started: by the servers' means, and as drawn.
    double expected_service_ms_ = 0.0;
    double drawn_service_ms_ = 0.0;
};

} // namespace mintknot::policy::tests

#endif
