/// @file
/// State and services that all requests of one instance share.
#ifndef MINTKNOT_RELAY_ROUTER_STATE_HPP
#define MINTKNOT_RELAY_ROUTER_STATE_HPP

#include <mintknot/event/loop.hpp>
#include <mintknot/logging/line_log.hpp>
#include <mintknot/policy/access.hpp>
#include <mintknot/policy/admission.hpp>
#include <mintknot/policy/domain_admission.hpp>
#include <mintknot/policy/held_answers.hpp>
#include <mintknot/policy/output_lengths.hpp>
#include <mintknot/policy/phase_demand.hpp>
#include <mintknot/policy/retry_after.hpp>
#include <mintknot/policy/retry_allowance.hpp>
#include <mintknot/policy/selection.hpp>
#include <mintknot/policy/server_health.hpp>
#include <mintknot/policy/server_paths.hpp>
#include <mintknot/policy/version_history.hpp>
#include <mintknot/relay/crash_guard.hpp>
#include <mintknot/relay/delay_monitor.hpp>
#include <mintknot/relay/dialect.hpp>
#include <mintknot/relay/health_prober.hpp>
#include <mintknot/relay/placer.hpp>
#include <mintknot/relay/relay_metrics.hpp>
#include <mintknot/relay/release_queue.hpp>
#include <mintknot/relay/stream_origins.hpp>
#include <mintknot/relay/stream_tracker.hpp>
#include <mintknot/relay/usage_limiter.hpp>
#include <mintknot/relay/wait_queue.hpp>
#include <mintknot/traffic/configuration.hpp>
#include <mintknot/traffic/load_view.hpp>
#include <mintknot/traffic/server_table.hpp>
#include <mintknot/upstream/connection_pool.hpp>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>

namespace mintknot::relay {

/// Settings of the relay.
struct relay_options {
    std::string data_centre;
    std::size_t max_callers = 1500; ///< Maximum number of open connections.
    /// Over all connections of callers; see policy::has_room().
    std::size_t max_caller_bytes = 24 * 1024 * 1024;
    /// Of answers that are not whole yet; see policy::may_hold().
    std::size_t max_held_bytes = 12 * 1024 * 1024;
    /// See policy::configuration_freshness.
    std::optional<base::milliseconds> revocation_bound;
    /// See policy::named_server_lifetime().
    base::milliseconds named_server_lifetime{300};
    /// Callers compete for capacity; see policy::shares_capacity().
    bool callers_compete = false;
};

/// The retries that a peer last reported. Retries of an earlier incarnation, or
/// of a peer that no longer reports, count until the retry window has passed.
struct peer_usage {
    policy::usage_map by_service;
    base::steady_time received_at;
};

/// Keyed by host and incarnation.
using peer_usages = std::map<std::pair<std::string, std::uint64_t>, peer_usage>;

/// Memory, in tokens, that requests queued at a peer wait for, by service.
struct peer_waiting {
    std::map<std::string, double> by_service;
    base::steady_time received_at;
};

/// The engine time that a peer's requests have used, by service.
struct peer_demand {
    std::unordered_map<std::string, policy::phase_demand> by_service;
    base::steady_time received_at;
};

/// The instance's current view of servers, peers and its own requests. Modified
/// only on the event loop's thread.
struct router_state {
    std::shared_ptr<const traffic::configuration>
        config; ///< Null until loaded.
    /// Whether the configuration in force shares capacity; see
    /// policy::shares_capacity().
    bool capacity_sharing = false;
    /// Admission control by domain: of those that this instance schedules, or
    /// of its own requests if there are no schedulers. The key is the service
    /// and the data centre, which is empty if the service has one domain.
    std::map<
        std::pair<std::string, std::string>, policy::domain_admission_state>
        admissions;
    /// The last time at which `config` was confirmed to be the newest version;
    /// nullopt if it never was.
    std::optional<base::steady_time> configuration_confirmed;
    traffic::server_table servers;
    /// The last time at which `servers` was confirmed to be up to date; nullopt
    /// if it never was or if schedulers provide the servers.
    std::optional<base::steady_time> server_table_confirmed;
    policy::version_history versions; ///< Of servers.
    traffic::load_view loads;
    stream_tracker streams; ///< Those whose memory is followed.
    std::unordered_map<std::string, policy::output_lengths>
        output_lengths; ///< By service.
    policy::health_view health;
    policy::path_view paths;
    policy::prefill_rates prefill_rates;
    /// Of plain servers; observed only while capacity is shared.
    policy::service_times plain_times;
    std::unordered_map<std::string, policy::phase_demand> demands;
    std::unordered_map<std::string, peer_demand> demands_of_peers; ///< By host.
    std::unordered_map<std::string, policy::retry_allowance> retry_allowances;
    policy::retry_bounds retry_bounds;
    peer_usages retries_of_peers;
    std::size_t instances = 1;   ///< Upper bound for the number of instances.
    base::steady_time started{}; ///< When this instance started.
    std::size_t open_requests = 0;
    std::size_t caller_bytes = 0; ///< What connections of callers hold.
    policy::held_answers held_answers;
    bool stopping = false;
    base::steady_time stop_began{}; ///< Valid if `stopping`.
    base::milliseconds grace{8000}; ///< Grace period, from `stop_began`.
    std::unordered_map<std::string, policy::longest_deadline>
        deadlines; ///< By route.
    std::unordered_map<std::string, policy::retry_after_schedule>
        retry_after_schedules; ///< By service.
    std::unordered_map<std::string, peer_waiting>
        waiting_of_peers; ///< By host.
    /// Called when the load of this instance has decreased or the health of a
    /// server has changed.
    std::function<void()> on_load_change;
    /// Called when the load of this instance has increased.
    std::function<void()> on_load_added;
    /// Called when this instance may soon need that many more retries for a
    /// service than its allowance holds.
    std::function<void(const std::string& service, int retries)> on_retries_low;
    /// Servers for which a malformed limit has already been logged.
    std::set<std::string> malformed_limits;
    /// Called when an answer of a server contains a rate limit.
    std::function<void()> on_limit_received;
    /// Called before an engine is ordered to change its phase.
    std::function<void()> on_phase_order;
};

class load_shedder;

/// The services and state that every request of an instance uses. The
/// referenced objects must outlive all requests.
struct router_context {
    event::loop& loop;
    upstream::connection_pool& pool;
    const dialect& protocol;
    logging::line_log& log;
    relay_metrics& metrics;
    release_queue& releases;
    health_prober& prober;
    relay_options options;
    router_state state{};
    placer* placement = nullptr;       ///< Null: requests are placed locally.
    usage_limiter* limits = nullptr;   ///< Null: no usage limits apply.
    crash_guard* crashes = nullptr;    ///< Null: no request is blocked.
    stream_origins* origins = nullptr; ///< Null: streams are not followed.
    load_shedder* shedder = nullptr;   ///< Null: all callers are admitted.
    wait_queue queue{loop};
    delay_monitor monitor{loop, log, metrics};
    std::minstd_rand random{std::random_device{}()};

    /// @return a random number in [0, 1).
    double draw_uniform() {
        return std::uniform_real_distribution<double>(0.0, 1.0)(random);
    }
};

/// @return the age of the current configuration and the age that it may have.
policy::configuration_freshness
configuration_freshness_of(const router_context& context);

/// @return the age of the server table: how long a server may already have been
/// leaving without this instance knowing it; nullopt if the age is unknown.
std::optional<base::milliseconds>
server_table_age(const router_context& context);

/// @return the age of the server table for a log line; negative if unknown.
std::int64_t server_table_age_ms(const router_context& context);

/// Reports to the peers that the load of this instance has decreased or that
/// the health of a server has changed.
void notify_load_change(router_context& context);

/// Adds load in flight at a server, and triggers a report to the peers.
void add_load(
    router_context& context, const std::string& server_id,
    const traffic::server_load& load);
/// Removes load in flight at a server, triggers a report to the peers and
/// notifies the wait queue that capacity is free.
void remove_load(
    router_context& context, const std::string& server_id,
    const traffic::server_load& load);

/// Records the retries that a peer reports, and discards reports older than the
/// retry window.
void note_peer_retries(
    router_state& state, const std::string& peer, std::uint64_t incarnation,
    const policy::usage_map& usage, base::steady_time now);

/// @return what the peers have used of a service's retry bound.
policy::fleet_usage fleet_usage_of(
    const router_state& state, const std::string& service,
    base::steady_time now);

/// Records the tokens that a peer's queued requests wait for, and discards the
/// records of peers that no longer report.
void note_peer_waiting(
    router_state& state, const std::string& peer,
    const std::map<std::string, double>& tokens, base::steady_time now);

/// @return the tokens for requests queued at other instances that are expected
/// to be allocated before those for a request that is queued here.
double peer_tokens_ahead(
    const router_state& state, const std::string& service,
    base::steady_time now);

/// How long the demand that a peer has reported counts: several reporting
/// periods.
inline constexpr base::milliseconds peer_demand_lifetime{10000};

/// @return the engine time of a service that the requests of this instance and
/// of the peers with a recent report have used.
policy::phase_demand group_demand(
    const router_state& state, const std::string& service,
    base::steady_time now);

/// @return the Retry-After of a refusal if all servers of the service, apart
/// from prefill engines, are at their rate limits or rest (server_notice),
/// and at least one has a rate limit; nullopt otherwise.
std::optional<base::milliseconds>
limited_retry_after(router_context& context, const std::string& service);

/// @return the Retry-After of a refusal because no server of the service is
/// reachable, or none accepts requests at present.
base::milliseconds
outage_retry_after(router_context& context, const std::string& service);

/// @return the inputs for the decision whether a request may be sent again.
policy::spend_terms
spend_terms_for(const router_context& context, const std::string& service);

/// Spends one retry of the service's allowance, and requests more from the
/// peers if few are left.
/// @return true if the retry is within the allowance.
bool spend_retry(router_context& context, const std::string& service);

/// Chooses a server for a request: locally, or by asking the placer.
/// @param then called with the placement; for a local choice before the
/// function returns.
/// @return the pending query, or null if `then` has already been called.
std::unique_ptr<placement_ticket> place_request(
    router_context& context, const traffic::service& target,
    policy::placement_query query, const placement_handler& then);

/// Chooses the servers of a request in this instance, by admission control if
/// it has a claim. Consumes tokens of limited servers (server_limit.hpp).
policy::placement place_here(
    router_context& context, const policy::selection_inputs& inputs,
    const policy::placement_query& query);

/// @return the inputs of a server selection. They refer to the state of the
/// router and are valid until it changes.
policy::selection_inputs
make_selection_inputs(router_context& context, const traffic::service& target);

} // namespace mintknot::relay

#endif
