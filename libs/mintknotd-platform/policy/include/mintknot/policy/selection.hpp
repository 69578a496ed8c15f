/// @file
/// Which backend server gets a request.
///
/// Inputs: rows of servers (as old as the last watch of the store), loads (own
/// exact, peers' some 60 ms old; a scheduler's exact), health, read rates. Each
/// choice scores all servers that take requests and takes the lowest score: for
/// plain servers the calls in flight for each slot, for prefill engines the
/// time until the prompt is read, for decode engines the share of memory that
/// is held afterwards or, where all are nearly full, the share that is left;
/// other data centres, failures and a random part add to it. Log events:
/// `sent`, `prefill`, `decode`; `no_room` where there is none.
#ifndef MINTKNOT_POLICY_SELECTION_HPP
#define MINTKNOT_POLICY_SELECTION_HPP

#include <mintknot/policy/read_rates.hpp>
#include <mintknot/policy/room_forecast.hpp>
#include <mintknot/policy/server_health.hpp>
#include <mintknot/traffic/configuration.hpp>
#include <mintknot/traffic/load_view.hpp>
#include <mintknot/traffic/server_table.hpp>

#include <functional>
#include <set>
#include <string>

namespace mintknot::policy {

/// Everything that a choice looks at. References must outlive the call.
struct selection_inputs {
    const traffic::server_table& servers;
    const traffic::load_view& loads;
    const health_view& health;
    const read_rates& rates;
    const traffic::service& target;
    std::string own_data_centre; ///< Of the instance that has the request.
    std::size_t instances = 1;   ///< How many share a server's connections.
    base::steady_time now;
    std::function<double()> draw;   ///< Uniform in [0, 1).
    std::string only_data_centre{}; ///< Empty: servers everywhere.
    /// How long a request holds decode memory on average.
    base::milliseconds mean_hold{0};
    /// Whether loads are exact, so that all servers may be compared.
    bool all_loads_known = false;
    /// Servers to which the instance has idle connections; null: not known.
    const std::set<std::string>* connected = nullptr;
};

/// Servers that a request has been to, or that are ruled out otherwise.
using excluded_servers = std::set<std::string>;

/// @return a server of a plain service, or null if none takes requests.
const traffic::server*
select_plain(const selection_inputs& inputs, const excluded_servers& excluded);

/// @return the prefill engine that would be done first, or null.
const traffic::server* select_prefill(
    const selection_inputs& inputs, const excluded_servers& excluded,
    double prompt_tokens);

/// What a request needs of a decode engine.
struct decode_request {
    double memory_tokens = 0.0;
    double memory_share = 1.0; ///< Part of an engine's memory to give out.
    std::string data_centre;   ///< Of the prefill engine, or empty.
};

/// @return the emptiest decode engine or, where all are nearly full, the
/// fullest one that has room for the request; null if none has.
const traffic::server* select_decode(
    const selection_inputs& inputs, const excluded_servers& excluded,
    const decode_request& wanted);

/// What a choice of a decode engine saw where none had room.
struct room_summary {
    int engines = 0;        ///< That decode and take requests.
    int avoided = 0;        ///< Of them.
    double max_room = 0.0;  ///< Free tokens of the emptiest other one.
    room_forecast forecast; ///< Over all of them.
};

room_summary
summarize_room(const selection_inputs& inputs, const decode_request& wanted);

/// @return how long a prefill engine needs until it has read a prompt.
base::milliseconds expected_read_time(
    const selection_inputs& inputs, const traffic::server& engine,
    double prompt_tokens);

} // namespace mintknot::policy

#endif
