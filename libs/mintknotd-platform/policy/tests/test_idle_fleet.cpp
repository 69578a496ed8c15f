/// @file
/// Simulates, in virtual time, placement with many servers and few requests.
/// Guards against requests that open new connections although other servers
/// have idle ones.

#include <mintknot/policy/placement.hpp>

#include <criterion/criterion.h>

#include <deque>
#include <map>
#include <random>
#include <set>

using namespace mintknot;
using namespace mintknot::policy;

namespace {

constexpr base::milliseconds tick{10};
/// How long a server keeps an idle connection open.
constexpr base::milliseconds keep_alive{10000};
constexpr int slots = 6;

struct simulation_options {
    int instances = 40;
    int servers = 24;
    double requests_per_s = 14.0; ///< Of all instances together.
    base::milliseconds work{60};
    bool reports_connections = true;
};

/// Counts of requests and connections.
struct simulation_result {
    int requests = 0;
    int connections = 0;
    int over_slots = 0; ///< Requests placed on a full server.
    int without_server = 0;

    double opened() const {
        return static_cast<double>(connections) / requests;
    }
};

/// Instances that call plain servers placed by one scheduler.
class simulation {
public:
    explicit simulation(const simulation_options& options)
        : options_(options) {
        target_.name = "s";
        target_.max_connections = 10000;
        for (int i = 0; i < options.servers; ++i) {
            traffic::server value;
            value.id = "i" + std::to_string(i);
            value.service = "s";
            value.slots = slots;
            apply(servers_, value.id, static_cast<std::uint64_t>(i) + 1, value);
        }
    }

    simulation_result run(base::milliseconds length) {
        const base::steady_time end = now_ + length;
        std::poisson_distribution<int> arrivals(
            options_.requests_per_s *
            std::chrono::duration<double>(tick).count());
        for (; now_ < end; now_ += tick) {
            finish();
            for (int count = arrivals(random_); count > 0; --count)
                request(static_cast<int>(random_() % options_.instances));
        }
        return result_;
    }

private:
    struct call {
        base::steady_time ends;
        int instance = 0;
        std::string server;
    };

    void finish() {
        while (!running_.empty() && running_.front().ends <= now_) {
            const call& done = running_.front();
            remove(loads_, done.server, {1, 0.0, 0.0});
            idle_[done.instance][done.server] = now_ + keep_alive;
            running_.pop_front();
        }
    }

    void request(int instance) {
        ++result_.requests;
        auto& idle = idle_[instance];
        std::erase_if(
            idle, [this](const auto& item) { return item.second <= now_; });
        std::set<std::string> connected;
        for (const auto& [server, until] : idle)
            connected.insert(server);
        selection_inputs inputs{
            servers_, loads_, health_, rates_, target_, "", 1, now_, [this] {
                return std::uniform_real_distribution<double>()(random_);
            }};
        inputs.all_loads_known = true;
        if (options_.reports_connections)
            inputs.connected = &connected;
        const std::string server = choose_servers(inputs, {"s"}).server;
        if (server.empty()) {
            ++result_.without_server;
            return;
        }
        if (traffic::total(loads_, server).calls >= slots)
            ++result_.over_slots;
        if (idle.erase(server) == 0)
            ++result_.connections;
        add(loads_, server, {1, 0.0, 0.0});
        running_.push_back({now_ + options_.work, instance, server});
    }

    simulation_options options_;
    traffic::server_table servers_;
    traffic::load_view loads_;
    health_view health_;
    prefill_rates rates_;
    traffic::service target_;
    std::minstd_rand random_{7};
    base::steady_time now_ = base::steady_time{} + std::chrono::hours(1);
    std::deque<call> running_;
    std::map<int, std::map<std::string, base::steady_time>> idle_;
    simulation_result result_;
};

simulation_result simulate(const simulation_options& options) {
    return simulation(options).run(base::milliseconds{60000});
}

} // namespace

Test(idle_fleet, requests_reuse_open_connections) {
    simulation_options options;
    const simulation_result reported = simulate(options);
    options.reports_connections = false;
    const simulation_result unreported = simulate(options);
    // About 0.10 of the requests open a connection, instead of 0.88.
    cr_assert(reported.opened() < 0.25, "%.3f", reported.opened());
    cr_assert(unreported.opened() > 0.7, "%.3f", unreported.opened());
    cr_assert(reported.over_slots == 0 && reported.without_server == 0);
}

Test(idle_fleet, open_connections_do_not_overload_servers) {
    simulation_options options;
    options.servers = 4;
    options.requests_per_s = 250.0; // 15 of 24 slots on average.
    const simulation_result reported = simulate(options);
    options.reports_connections = false;
    const simulation_result unreported = simulate(options);
    cr_assert(
        reported.over_slots <=
            unreported.over_slots + unreported.requests / 100,
        "%d and %d", reported.over_slots, unreported.over_slots);
}
