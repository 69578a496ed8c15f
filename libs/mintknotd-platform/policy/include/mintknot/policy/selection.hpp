/// @file
/// Selection of a backend server for a request.
///
/// Inputs: the server table (as recent as the last watch of the store), loads
/// (own ones exact, those of peers about 60 ms old; exact at a scheduler),
/// health, prefill rates. Each selection scores all servers that accept
/// requests and takes the lowest score: for plain servers the calls in flight
/// per slot, for prefill engines the time until the prompt is read, for decode
/// engines the share of memory that is held afterwards or, if all are nearly
/// full, the share that is left. Another data centre, failures and a random
/// part add to the score. Log events: `sent`, `prefill`, `decode`; `no_room` if
/// no engine has enough memory.
#ifndef MINTKNOT_POLICY_SELECTION_HPP
#define MINTKNOT_POLICY_SELECTION_HPP

#include <mintknot/policy/capacity_forecast.hpp>
#include <mintknot/policy/prefill_rates.hpp>
#include <mintknot/policy/server_health.hpp>
#include <mintknot/policy/service_times.hpp>
#include <mintknot/traffic/configuration.hpp>
#include <mintknot/traffic/load_view.hpp>
#include <mintknot/traffic/server_table.hpp>

#include <functional>
#include <optional>
#include <set>
#include <string>

namespace mintknot::policy {

/// All inputs of a selection. The references must outlive the call.
struct selection_inputs {
    const traffic::server_table& servers;
    const traffic::load_view& loads;
    const health_view& health;
    const prefill_rates& rates;
    const traffic::service& service;
    std::string own_data_centre; ///< Of the instance that handles the request.
    /// Instances that share the connections to a server.
    std::size_t instances = 1;
    base::steady_time now;
    std::function<double()> draw_uniform; ///< Uniform in [0, 1).
    std::string only_data_centre{}; ///< Empty: servers of all data centres.
    /// Mean time for which a request holds decode memory.
    base::milliseconds mean_hold_time{0};
    /// Whether loads are exact. If so, all servers are compared, rather than a
    /// random sample.
    bool all_loads_known = false;
    /// Servers to which the instance has idle connections; null: unknown.
    const std::set<std::string>* connected = nullptr;
    /// Of plain servers (service_times.hpp); null: unknown.
    const service_times* plain_times = nullptr;
    /// Software version that the server must have (stream_origin.hpp); empty:
    /// any.
    std::optional<std::string> only_version{};
};

/// Servers that a request has already used or must not use.
using excluded_servers = std::set<std::string>;

/// @return a server of a plain service, or null if none accepts requests.
const traffic::server*
select_plain(const selection_inputs& inputs, const excluded_servers& excluded);

/// Scores a server; the lowest score is chosen, and an infinite one never.
using server_score = std::function<double(const traffic::server&)>;

/// As select_plain(), by another score.
const traffic::server* select_plain_by_score(
    const selection_inputs& inputs, const excluded_servers& excluded,
    const server_score& score);

/// @return the score by which select_plain() chooses, in calls per slot.
/// @param calls in flight at the server.
double plain_score(
    const selection_inputs& inputs, const traffic::server& candidate,
    int calls);

/// @return the prefill engine that would finish the prompt first, or null.
const traffic::server* select_prefill(
    const selection_inputs& inputs, const excluded_servers& excluded,
    double prompt_tokens);

/// What a request requires of a decode engine.
struct decode_request {
    double memory_tokens = 0.0;
    double memory_share = 1.0; ///< Usable part of an engine's memory.
    std::string data_centre;   ///< Of the prefill engine, or empty.
    /// Expected memory from now on (memory_profile.hpp). If given, the request
    /// must fit until its end, and memory_tokens does not count.
    std::optional<traffic::memory_profile> profile{};
    std::string version{}; ///< Of the prefill engine, or empty.
};

/// The memory of an engine as a request sees it.
struct memory_use {
    double before = 0.0; ///< Held or reserved by the requests in flight.
    double after = 0.0;  ///< The same with the request, at its highest.
    double usable = 0.0; ///< What may be held with the request.
    base::milliseconds peak_in{0}; ///< Time until the highest point.
};

/// @return the memory that requests hold on an engine without and with another
/// one: the sum of the reservations or, if the request has a profile, the
/// forecast over its life.
memory_use memory_use_of(
    const selection_inputs& inputs, const traffic::server_load& load,
    const decode_request& wanted);

/// @return the decode engine with the most free memory or, if all are nearly
/// full, the fullest one that can still take the request; null if none can.
const traffic::server* select_decode(
    const selection_inputs& inputs, const excluded_servers& excluded,
    const decode_request& wanted);

/// State of the decode engines when none could take a request.
struct capacity_summary {
    int engines = 0; ///< Decode engines that accept requests.
    int avoided = 0; ///< Of them, those that are avoided.
    /// Most free tokens of any engine that is not avoided.
    double max_free_tokens = 0.0;
    capacity_forecast forecast; ///< Over all of them.
};

capacity_summary summarize_capacity(
    const selection_inputs& inputs, const decode_request& wanted);

/// @return the expected time until a prefill engine has read a prompt,
/// including its queue.
base::milliseconds expected_prefill_time(
    const selection_inputs& inputs, const traffic::server& engine,
    double prompt_tokens);

} // namespace mintknot::policy

#endif
