#include <mintknot/policy/selection.hpp>

#include "selection_scope.hpp"

#include <mintknot/policy/group.hpp>

#include <algorithm>
#include <limits>

namespace mintknot::policy {

namespace {

/// Cost of a plain server in another data centre, as a share of its slots.
/// Calls between data centres are broken off when the link is cut.
constexpr double plain_distance_cost = 0.6;
/// The same for decode engines, as a share of their memory. Streams last for
/// seconds, and their prompts are read again when they break off.
constexpr double decode_distance_cost = 0.25;
/// Cost of moving a KV cache between data centres, where a transfer takes twice
/// as long, as a share of the memory of a decode engine.
constexpr double move_distance_cost = 0.1;
/// The same between engines of two software versions.
constexpr double move_version_cost = 0.1;
/// Cost of an engine of a version with few engines, as a share of its memory
/// and in milliseconds of prefill: only these can continue its streams.
constexpr double scarce_version_cost = 0.3;
constexpr double prefill_scarce_version_cost = 30.0;
/// Cost of another data centre, in milliseconds of prefill: a round trip.
constexpr double prefill_distance_cost = 15.0;
/// Share of the memory of an engine up to which requests go to the emptiest
/// engine, which is the fastest. Where all would be fuller, requests go to the
/// fullest engine that can take them, so that the remaining free memory is on
/// few engines and large requests still fit.
constexpr double spread_share = 0.7;
/// Mean number of servers in the random sample of which an instance takes the
/// best, where there are many servers and loads are outdated: if all instances
/// compared all servers, they would choose the same ones.
constexpr double sample_size = 12.0;
/// Random part of a score, so that instances do not all choose the same server,
/// as a share of a server and in milliseconds of prefill.
constexpr double jitter = 0.08;
constexpr double prefill_jitter_ms = 10.0;
/// Cost of a server whose recent calls have all failed, in the same units.
constexpr double failure_cost = 2.0;
constexpr double prefill_failure_cost_ms = 400.0;

/// Bonus of a server to which there is an idle connection, in the same units:
/// it is preferred to an idle server without one as long as it has at most one
/// call per six slots.
constexpr double plain_connection_bonus = 0.25;
constexpr double decode_connection_bonus = 0.1;
constexpr double prefill_connection_bonus_ms = 10.0;

using phase_test = bool (*)(traffic::engine_phase);

constexpr double not_eligible = std::numeric_limits<double>::infinity();

bool has_connection_left(
    const selection_inputs& inputs, const traffic::server& candidate) {
    const std::size_t share = std::max<std::size_t>(
        2, inputs.service.max_connections /
               std::max<std::size_t>(inputs.instances, 1));
    return static_cast<std::size_t>(
               traffic::own(inputs.loads, candidate.id).calls) < share;
}

/// @return the bonus if there is an idle connection to the server, else 0.
double connection_bonus(
    const selection_inputs& inputs, const traffic::server& candidate,
    double bonus) {
    const bool connected =
        inputs.connected != nullptr && inputs.connected->contains(candidate.id);
    return connected ? bonus : 0.0;
}

/// @return how scarce the version of a server is among the open servers of its
/// service: 0 for the version that most of them have, nearly 1 if hardly any
/// has it. Does not matter to a request that needs this version.
double
scarcity(const selection_inputs& inputs, const traffic::server& candidate) {
    const auto versions =
        inputs.servers.open_versions.find(inputs.service.name);
    if (inputs.only_version || versions == inputs.servers.open_versions.end() ||
        versions->second.size() < 2)
        return 0.0;
    std::size_t most = 1;
    std::size_t own = 0;
    for (const auto& [version, count] : versions->second) {
        most = std::max(most, count);
        if (version == candidate.version)
            own = count;
    }
    return 1.0 - static_cast<double>(own) / static_cast<double>(most);
}

/// @param sample_share probability with which each server is considered.
const traffic::server* best_of_sample(
    const selection_inputs& inputs, const excluded_servers& excluded,
    const server_score& score, bool with_avoided, double sample_share) {
    const traffic::server* best = nullptr;
    double lowest = not_eligible;
    for (const traffic::server* candidate :
         traffic::open_servers(inputs.servers, inputs.service.name)) {
        if (sample_share < 1.0 && inputs.draw_uniform() >= sample_share)
            continue;
        if (excluded.contains(candidate->id) || !in_scope(inputs, *candidate))
            continue;
        if (rests(inputs.health.resting, candidate->id, inputs.now) ||
            !has_token(inputs.health.limits, candidate->id, inputs.now))
            continue;
        if (!with_avoided &&
            is_avoided(inputs.health, candidate->id, inputs.now))
            continue;
        if (!has_connection_left(inputs, *candidate))
            continue;
        const double value = score(*candidate);
        if (value >= lowest)
            continue;
        lowest = value;
        best = candidate;
    }
    return best;
}

/// Of many servers, each instance takes the best of a random sample: if all
/// instances compared all servers by slightly outdated loads, they would choose
/// the same ones.
const traffic::server* best_of(
    const selection_inputs& inputs, const excluded_servers& excluded,
    const server_score& score, bool with_avoided) {
    const std::size_t servers =
        traffic::open_servers(inputs.servers, inputs.service.name).size();
    if (servers > max_unsplit_servers && !inputs.all_loads_known) {
        const double share = sample_size / static_cast<double>(servers);
        const traffic::server* sampled =
            best_of_sample(inputs, excluded, score, with_avoided, share);
        if (sampled != nullptr)
            return sampled;
    }
    return best_of_sample(inputs, excluded, score, with_avoided, 1.0);
}

/// @return true if there is a suitable server that is not avoided, whether or
/// not it has capacity.
bool any_not_avoided(
    const selection_inputs& inputs, const excluded_servers& excluded,
    const phase_test& suits) {
    for (const traffic::server* candidate :
         traffic::open_servers(inputs.servers, inputs.service.name))
        if (suits(candidate->phase) && in_scope(inputs, *candidate) &&
            !excluded.contains(candidate->id) &&
            !is_avoided(inputs.health, candidate->id, inputs.now))
            return true;
    return false;
}

/// Avoided servers are chosen only if there is no other, not if the others are
/// merely full.
const traffic::server* best_of(
    const selection_inputs& inputs, const excluded_servers& excluded,
    const phase_test& suits, const server_score& score) {
    const bool with_avoided = !any_not_avoided(inputs, excluded, suits);
    const server_score suited = [&](const traffic::server& candidate) {
        return suits(candidate.phase) ? score(candidate) : not_eligible;
    };
    return best_of(inputs, excluded, suited, with_avoided);
}

bool any_phase(traffic::engine_phase) {
    return true;
}

bool prefill_phase(traffic::engine_phase phase) {
    return phase == traffic::engine_phase::prefill;
}

} // namespace

double plain_score(
    const selection_inputs& inputs, const traffic::server& candidate,
    int calls) {
    double score = static_cast<double>(calls) / std::max(candidate.slots, 1);
    if (candidate.data_centre != inputs.own_data_centre)
        score += plain_distance_cost;
    score -= connection_bonus(inputs, candidate, plain_connection_bonus);
    score += failure_cost * failure_share(inputs.health, candidate.id);
    return score + jitter * inputs.draw_uniform();
}

const traffic::server* select_plain_by_score(
    const selection_inputs& inputs, const excluded_servers& excluded,
    const server_score& score) {
    return best_of(inputs, excluded, any_phase, score);
}

const traffic::server*
select_plain(const selection_inputs& inputs, const excluded_servers& excluded) {
    return select_plain_by_score(
        inputs, excluded, [&inputs](const traffic::server& candidate) {
            return plain_score(
                inputs, candidate,
                traffic::total(inputs.loads, candidate.id).calls);
        });
}

base::milliseconds expected_prefill_time(
    const selection_inputs& inputs, const traffic::server& engine,
    double prompt_tokens) {
    const traffic::server_load load = traffic::total(inputs.loads, engine.id);
    return prefill_time(
        inputs.rates, engine.id, load.prefill_tokens + prompt_tokens);
}

const traffic::server* select_prefill(
    const selection_inputs& inputs, const excluded_servers& excluded,
    double prompt_tokens) {
    return best_of(
        inputs, excluded, prefill_phase, [&](const traffic::server& candidate) {
            double score = static_cast<double>(
                expected_prefill_time(inputs, candidate, prompt_tokens)
                    .count());
            if (candidate.data_centre != inputs.own_data_centre)
                score += prefill_distance_cost;
            score -= connection_bonus(
                inputs, candidate, prefill_connection_bonus_ms);
            score += prefill_scarce_version_cost * scarcity(inputs, candidate);
            score += prefill_failure_cost_ms *
                     failure_share(inputs.health, candidate.id);
            return score + prefill_jitter_ms * inputs.draw_uniform();
        });
}

namespace {

/// @param held share of the memory that would be held with the request.
double packing_score(double held) {
    return held <= spread_share ? held : spread_share + (1.0 - held);
}

} // namespace

const traffic::server* select_decode(
    const selection_inputs& inputs, const excluded_servers& excluded,
    const decode_request& wanted) {
    const double memory = engine_memory_of(inputs);
    return best_of(
        inputs, excluded, decode_phase, [&](const traffic::server& candidate) {
            const traffic::server_load load =
                traffic::total(inputs.loads, candidate.id);
            if (load.calls >= candidate.slots)
                return not_eligible;
            const memory_use use = memory_use_of(inputs, load, wanted);
            if (memory > 0.0 && load.memory_tokens > 0.0 &&
                use.after > use.usable)
                return not_eligible;
            double score =
                memory > 0.0 ? packing_score(use.after / memory) : load.calls;
            if (candidate.data_centre != inputs.own_data_centre)
                score += decode_distance_cost;
            if (!wanted.data_centre.empty() &&
                candidate.data_centre != wanted.data_centre)
                score += move_distance_cost;
            if (!wanted.version.empty() && candidate.version != wanted.version)
                score += move_version_cost;
            score += scarce_version_cost * scarcity(inputs, candidate);
            score -=
                connection_bonus(inputs, candidate, decode_connection_bonus);
            score += failure_cost * failure_share(inputs.health, candidate.id);
            return score + jitter * inputs.draw_uniform();
        });
}

} // namespace mintknot::policy
