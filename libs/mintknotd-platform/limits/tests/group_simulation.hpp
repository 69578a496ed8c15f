/// @file
/// Simulates, in virtual time, a group of instances that enforces the limit of
/// one organisation.
#ifndef MINTKNOT_LIMITS_TESTS_GROUP_PLAY_HPP
#define MINTKNOT_LIMITS_TESTS_GROUP_PLAY_HPP

#include "account_table.hpp"
#include "group_tracker.hpp"
#include "keeper_directory.hpp"

#include <deque>
#include <functional>
#include <memory>
#include <random>
#include <string>
#include <vector>

namespace mintknot::limits::tests {

/// How the group enforces the limit.
enum class limit_strategy {
    accounts,     ///< As in production: keeper, deputies, own accounts.
    equal_shares, ///< An equal share per instance, no messages.
    keeper_only   ///< A keeper; all is granted while it is silent.
};

struct simulation_options {
    std::size_t instances = 88;
    limit_strategy strategy = limit_strategy::accounts;
    unsigned seed = 1;
    double load = 1.0; ///< As a multiple of the limit's rate.
    /// Chooses the instance that gets a request; by default, uniformly.
    std::function<std::size_t(std::mt19937&, std::size_t instances)>
        pick_instance;
    double loss = 0.0; ///< Fraction of usage requests that are lost.
};

struct simulation_result {
    double largest_window = 0.0; ///< Relative to the bound.
    /// Fraction of the requests within the limit that was refused.
    double refused_within_limit = 0.0;
    double used = 0.0; ///< Relative to the total that the limit allowed.
};

/// Simulates the requests of one organisation: a quarter are streams of 5,300
/// tokens, the others cost 200. A reference account that sees all requests
/// decides which of them are within the limit.
class group_simulation {
public:
    explicit group_simulation(simulation_options options);

    /// Simulates a period of time.
    void run(base::milliseconds time);
    /// @return the results since the last call.
    simulation_result take_result();

    std::size_t keeper() const;
    void kill(std::size_t instance, base::milliseconds down);
    void kill_all(base::milliseconds down);
    /// Suspends an instance, which then continues with its old state.
    void freeze(std::size_t instance, base::milliseconds time);
    /// Cuts a data centre off from the others.
    void cut(std::size_t data_centre, base::milliseconds time);
    void add(std::size_t instances);
    void set_load(double load) { options_.load = load; }
    void set_rate(double rate);

private:
    struct member {
        std::unique_ptr<account_table> book;
        std::unique_ptr<group_tracker> group;
        keeper_directory directory;
        base::steady_time dead_until{};
        base::steady_time frozen_until{};
        base::steady_time refreshed_at{};
        std::vector<base::steady_time> heard; ///< By instance.
        double pending_charges = 0.0;         ///< Received while frozen.
    };

    void start(std::size_t instance);
    bool connected(std::size_t left, std::size_t right) const;
    bool runs(std::size_t instance) const;
    /// Restarts killed instances, and delivers what was sent to frozen
    /// instances once they continue.
    void resume_instances();
    void exchange_heartbeats();
    void refresh(std::size_t instance);
    void request();
    bool admit(std::size_t instance, double cost);
    bool
    ask(std::size_t from, account_kind account, double cost, bool& granted);
    void charge_keeper(std::size_t from, double cost);
    void note_run(double cost);
    double bound() const;

    simulation_options options_;
    traffic::organisation who_;
    std::mt19937 random_;
    base::steady_time now_;
    base::steady_time next_heartbeat_;
    std::vector<member> members_;
    std::size_t cut_ = 0;
    base::steady_time cut_until_{};
    std::deque<std::pair<base::steady_time, double>> window_;
    double in_window_ = 0.0;
    policy::usage_account reference_;
    double largest_ = 0.0;
    double run_ = 0.0;
    double allowed_ = 0.0;
    std::size_t within_limit_ = 0;
    std::size_t refused_ = 0;
};

} // namespace mintknot::limits::tests

#endif
