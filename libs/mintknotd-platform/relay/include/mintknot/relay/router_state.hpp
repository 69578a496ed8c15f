/// @file
/// Everything that the requests of one instance share.
#ifndef MINTKNOT_RELAY_ROUTER_STATE_HPP
#define MINTKNOT_RELAY_ROUTER_STATE_HPP

#include <mintknot/event/loop.hpp>
#include <mintknot/logging/line_log.hpp>
#include <mintknot/policy/access.hpp>
#include <mintknot/policy/admission.hpp>
#include <mintknot/policy/phase_demand.hpp>
#include <mintknot/policy/retry_after.hpp>
#include <mintknot/policy/retry_allowance.hpp>
#include <mintknot/policy/selection.hpp>
#include <mintknot/policy/server_health.hpp>
#include <mintknot/relay/crash_guard.hpp>
#include <mintknot/relay/dialect.hpp>
#include <mintknot/relay/health_prober.hpp>
#include <mintknot/relay/placer.hpp>
#include <mintknot/relay/relay_metrics.hpp>
#include <mintknot/relay/release_queue.hpp>
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
    std::size_t max_callers = 1500; ///< Open connections of callers.
    std::size_t max_body_bytes = 24 * 1024 * 1024; ///< Of all open requests.
    /// See policy::knowledge.
    std::optional<base::milliseconds> revocation_bound;
    /// See policy::named_life().
    base::milliseconds named_server_life{300};
};

/// What a peer has last told of its retries. What an earlier life of it, or
/// one that is silent now, has spent counts until the window has passed.
struct peer_usage {
    policy::usage_map by_service;
    base::steady_time heard;
};

/// By host and incarnation.
using peer_usages = std::map<std::pair<std::string, std::uint64_t>, peer_usage>;

/// Tokens that a peer's requests wait for, by service.
struct peer_waiting {
    std::map<std::string, double> by_service;
    base::steady_time heard;
};

/// What the requests of a peer have taken of engines, by service.
struct peer_demand {
    std::unordered_map<std::string, policy::phase_demand> by_service;
    base::steady_time heard;
};

/// What is believed at present. Changed only on the loop's thread.
struct router_state {
    std::shared_ptr<const traffic::configuration> config; ///< Null at first.
    /// The last moment at which nothing newer than `config` is known to have
    /// existed; nothing: there was none yet.
    std::optional<base::steady_time> configuration_confirmed;
    traffic::server_table servers;
    /// The same of the servers; nothing as well where schedulers name them.
    std::optional<base::steady_time> servers_confirmed;
    traffic::load_view loads;
    policy::health_view health;
    policy::prefill_rates rates;
    std::unordered_map<std::string, policy::phase_demand> demands;
    std::unordered_map<std::string, peer_demand> demands_of_peers; ///< By host.
    std::unordered_map<std::string, policy::retry_allowance> allowances;
    policy::retry_bounds retry_bounds;
    peer_usages retries_of_peers;
    std::size_t instances = 1;   ///< How many instances there may be.
    base::steady_time started{}; ///< Of this instance.
    std::size_t open_requests = 0;
    std::size_t open_body_bytes = 0;
    bool stopping = false;
    base::steady_time stop_began{}; ///< With `stopping`.
    base::milliseconds grace{8000}; ///< From then on.
    std::unordered_map<std::string, policy::longest_deadline>
        deadlines; ///< By route.
    std::unordered_map<std::string, policy::retry_after_schedule>
        returns; ///< By service.
    std::unordered_map<std::string, peer_waiting>
        waiting_of_peers; ///< By host.
    /// Called when own loads have shrunk, or health has changed.
    std::function<void()> on_load_change;
    /// Called when own loads have grown.
    std::function<void()> on_load_added;
    /// Called when so many more repeats of a service may soon be needed here.
    std::function<void(const std::string& service, int repeats)> on_repeats_low;
    /// Servers whose malformed limit has been logged.
    std::set<std::string> malformed_limits;
    /// Called when an answer of a server contains a limit.
    std::function<void()> on_limit_received;
    /// Called when an engine is about to be ordered to change its phase.
    std::function<void()> on_order;
};

/// What every request of an instance works with. References outlive all
/// requests.
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
    placer* placement = nullptr;     ///< Null: every request is placed here.
    usage_limiter* limits = nullptr; ///< Null: no organisation is limited.
    crash_guard* crashes = nullptr;  ///< Null: no request is suspected.
    wait_queue queue{loop};
    std::minstd_rand random{std::random_device{}()};

    double draw() {
        return std::uniform_real_distribution<double>(0.0, 1.0)(random);
    }
};

/// @return how old the configuration in force may be.
policy::knowledge knowledge_of(const router_context& context);

/// @return for how long a server may have been leaving without this instance
/// knowing it; nothing: it cannot be told.
std::optional<base::milliseconds> servers_age(const router_context& context);

/// @return the same for a log line; negative: it cannot be told.
std::int64_t servers_age_ms(const router_context& context);

/// Adds work in flight at a server, and tells peers of it.
void add_load(
    router_context& context, const std::string& server_id,
    const traffic::server_load& load);
void remove_load(
    router_context& context, const std::string& server_id,
    const traffic::server_load& load);

/// Takes the result of a call; logs when a server is avoided from now on.
void note_result(
    router_context& context, const std::string& server_id,
    policy::call_result result, const std::string& request_id);

/// Takes what a peer tells of its retries, and forgets what is long past.
void note_retries(
    router_state& state, const std::string& peer, std::uint64_t incarnation,
    const policy::usage_map& usage, base::steady_time now);

/// @return what peers have used of a service's retry bound.
policy::fleet_usage fleet_usage_of(
    const router_state& state, const std::string& service,
    base::steady_time now);

/// Takes what the requests of a peer wait for, and forgets silent peers.
void note_waiting(
    router_state& state, const std::string& peer,
    const std::map<std::string, double>& tokens, base::steady_time now);

/// @return the tokens that requests at other instances wait for and that are
/// expected to be given out before those of a request here.
double tokens_ahead_elsewhere(
    const router_state& state, const std::string& service,
    base::steady_time now);

/// How long the demand that a peer has told counts: some of the periods at
/// which it is told.
inline constexpr base::milliseconds peer_demand_life{10000};

/// @return what requests here and at the peers that have told of it have taken
/// of the engines of a service.
policy::phase_demand group_demand(
    const router_state& state, const std::string& service,
    base::steady_time now);

/// @return when a refused caller may come back if all servers of the service,
/// apart from prefill engines, are at their limits or rest; empty otherwise.
std::optional<base::milliseconds>
limited_return_time(router_context& context, const std::string& service);

/// @return when a caller may come back that found no server within reach
/// (policy/return_time.hpp), or none that accepts requests now.
base::milliseconds
outage_retry_after(router_context& context, const std::string& service);

/// @return what a decision about a repeat looks at.
policy::spend_terms
spend_terms_for(const router_context& context, const std::string& service);

/// @return true if one more send for the service is within the allowance.
bool spend_repeat(router_context& context, const std::string& service);

/// Places a request: here and at once, or by asking. @return the question, or
/// null where `then` has been called already.
std::unique_ptr<placement_ticket> place_request(
    router_context& context, const traffic::service& target,
    policy::placement_query query, const placement_handler& then);

/// @return the inputs of a selection, valid while the router is not changed.
policy::selection_inputs
selection_for(router_context& context, const traffic::service& target);

} // namespace mintknot::relay

#endif
