#include <mintknot/policy/selection.hpp>

#include <mintknot/policy/group.hpp>

#include <algorithm>
#include <limits>

namespace mintknot::policy {

namespace {

/// Cost of a plain server of another data centre, in shares of its slots. What
/// crosses a border is broken off when the border is cut.
constexpr double plain_distance_cost = 0.6;
/// The same for decode engines, in shares of their memory. Streams last for
/// seconds and are read again when they break.
constexpr double decode_distance_cost = 0.25;
/// Cost of a KV cache that is moved between data centres, where a move takes
/// twice as long, in shares of a decode engine's memory.
constexpr double move_distance_cost = 0.1;
/// Cost of another data centre, in milliseconds of reading: a round trip.
constexpr double prefill_distance_cost = 15.0;
/// Share of an engine's memory up to which requests go to the emptiest engine,
/// which is the fastest. Where all would be fuller they go to the fullest one
/// that has room, so that the room that is left lies together and large
/// requests fit.
constexpr double spread_share = 0.7;
/// Servers of which an instance takes the best, where there are many and loads
/// are old: if all looked at all, they would choose the same ones.
constexpr double sample_size = 12.0;
/// Random part of a score, so that instances do not all choose alike, in shares
/// of a server and in milliseconds of reading.
constexpr double jitter = 0.08;
constexpr double prefill_jitter_ms = 10.0;
/// Cost of a server all of whose recent calls have failed, in the same units.
constexpr double failure_cost = 2.0;
constexpr double prefill_failure_cost_ms = 400.0;

/// Gain of a server to which there is an idle connection, in the same units: it
/// goes before an idle one that is not while it has one call at most in six
/// slots.
constexpr double plain_connection_gain = 0.25;
constexpr double decode_connection_gain = 0.1;
constexpr double prefill_connection_gain_ms = 10.0;

/// Scores a server; lower is better, infinite if it cannot take the request.
using score_function = std::function<double(const traffic::server&)>;
using phase_test = bool (*)(traffic::engine_phase);

constexpr double impossible = std::numeric_limits<double>::infinity();

bool connections_left(
    const selection_inputs& inputs, const traffic::server& candidate) {
    const std::size_t share = std::max<std::size_t>(
        2, inputs.target.max_connections /
               std::max<std::size_t>(inputs.instances, 1));
    return static_cast<std::size_t>(
               traffic::own(inputs.loads, candidate.id).calls) < share;
}

/// @return the gain if there is an idle connection to the server.
double connection_gain(
    const selection_inputs& inputs, const traffic::server& candidate,
    double gain) {
    const bool connected =
        inputs.connected != nullptr && inputs.connected->contains(candidate.id);
    return connected ? gain : 0.0;
}

bool in_scope(
    const selection_inputs& inputs, const traffic::server& candidate) {
    return inputs.only_data_centre.empty() ||
           inputs.only_data_centre == candidate.data_centre;
}

/// @param drawn_share of the servers is looked at.
const traffic::server* best_of_drawn(
    const selection_inputs& inputs, const excluded_servers& excluded,
    const score_function& score, bool with_avoided, double drawn_share) {
    const traffic::server* best = nullptr;
    double lowest = impossible;
    for (const traffic::server* candidate :
         traffic::open_servers(inputs.servers, inputs.target.name)) {
        if (drawn_share < 1.0 && inputs.draw() >= drawn_share)
            continue;
        if (excluded.contains(candidate->id) || !in_scope(inputs, *candidate))
            continue;
        if (rests(inputs.health.resting, candidate->id, inputs.now) ||
            !has_token(inputs.health.limits, candidate->id, inputs.now))
            continue;
        if (!with_avoided && avoided(inputs.health, candidate->id, inputs.now))
            continue;
        if (!connections_left(inputs, *candidate))
            continue;
        const double value = score(*candidate);
        if (value >= lowest)
            continue;
        lowest = value;
        best = candidate;
    }
    return best;
}

/// Among many servers, each instance draws a few and takes the best of them:
/// if all looked at all, they would choose the same ones by loads that are a
/// moment old.
const traffic::server* best_of(
    const selection_inputs& inputs, const excluded_servers& excluded,
    const score_function& score, bool with_avoided) {
    const std::size_t servers =
        traffic::open_servers(inputs.servers, inputs.target.name).size();
    if (servers > max_unsplit_servers && !inputs.all_loads_known) {
        const double share = sample_size / static_cast<double>(servers);
        const traffic::server* drawn =
            best_of_drawn(inputs, excluded, score, with_avoided, share);
        if (drawn != nullptr)
            return drawn;
    }
    return best_of_drawn(inputs, excluded, score, with_avoided, 1.0);
}

/// @return true if a server is there that need not be avoided, whether it has
/// room or not.
bool any_trusted(
    const selection_inputs& inputs, const excluded_servers& excluded,
    const phase_test& suits) {
    for (const traffic::server* candidate :
         traffic::open_servers(inputs.servers, inputs.target.name))
        if (suits(candidate->phase) && in_scope(inputs, *candidate) &&
            !excluded.contains(candidate->id) &&
            !avoided(inputs.health, candidate->id, inputs.now))
            return true;
    return false;
}

/// Servers that are to be avoided are chosen only where there is no other,
/// not where the others are merely full.
const traffic::server* best_of(
    const selection_inputs& inputs, const excluded_servers& excluded,
    const phase_test& suits, const score_function& score) {
    const bool with_avoided = !any_trusted(inputs, excluded, suits);
    const score_function suited = [&](const traffic::server& candidate) {
        return suits(candidate.phase) ? score(candidate) : impossible;
    };
    return best_of(inputs, excluded, suited, with_avoided);
}

bool any_phase(traffic::engine_phase) {
    return true;
}

bool prefill_phase(traffic::engine_phase phase) {
    return phase == traffic::engine_phase::prefill;
}

bool decode_phase(traffic::engine_phase phase) {
    return phase != traffic::engine_phase::prefill;
}

} // namespace

const traffic::server*
select_plain(const selection_inputs& inputs, const excluded_servers& excluded) {
    return best_of(
        inputs, excluded, any_phase,
        [&inputs](const traffic::server& candidate) {
            const traffic::server_load load =
                traffic::total(inputs.loads, candidate.id);
            double score =
                static_cast<double>(load.calls) / std::max(candidate.slots, 1);
            if (candidate.data_centre != inputs.own_data_centre)
                score += plain_distance_cost;
            score -= connection_gain(inputs, candidate, plain_connection_gain);
            score += failure_cost * failure_share(inputs.health, candidate.id);
            return score + jitter * inputs.draw();
        });
}

base::milliseconds expected_read_time(
    const selection_inputs& inputs, const traffic::server& engine,
    double prompt_tokens) {
    const traffic::server_load load = traffic::total(inputs.loads, engine.id);
    return read_time(
        inputs.rates, engine.id, load.prefill_tokens + prompt_tokens);
}

const traffic::server* select_prefill(
    const selection_inputs& inputs, const excluded_servers& excluded,
    double prompt_tokens) {
    return best_of(
        inputs, excluded, prefill_phase, [&](const traffic::server& candidate) {
            double score = static_cast<double>(
                expected_read_time(inputs, candidate, prompt_tokens).count());
            if (candidate.data_centre != inputs.own_data_centre)
                score += prefill_distance_cost;
            score -=
                connection_gain(inputs, candidate, prefill_connection_gain_ms);
            score += prefill_failure_cost_ms *
                     failure_share(inputs.health, candidate.id);
            return score + prefill_jitter_ms * inputs.draw();
        });
}

namespace {

/// @param held share of the memory that is held afterwards.
double packing_score(double held) {
    return held <= spread_share ? held : spread_share + (1.0 - held);
}

} // namespace

const traffic::server* select_decode(
    const selection_inputs& inputs, const excluded_servers& excluded,
    const decode_request& wanted) {
    const double memory =
        inputs.target.engine
            ? static_cast<double>(inputs.target.engine->memory_tokens)
            : 0.0;
    return best_of(
        inputs, excluded, decode_phase, [&](const traffic::server& candidate) {
            const traffic::server_load load =
                traffic::total(inputs.loads, candidate.id);
            if (load.calls >= candidate.slots)
                return impossible;
            const double after = load.memory_tokens + wanted.memory_tokens;
            if (memory > 0.0 && load.memory_tokens > 0.0 &&
                after > memory * wanted.memory_share)
                return impossible;
            double score =
                memory > 0.0 ? packing_score(after / memory) : load.calls;
            if (candidate.data_centre != inputs.own_data_centre)
                score += decode_distance_cost;
            if (!wanted.data_centre.empty() &&
                candidate.data_centre != wanted.data_centre)
                score += move_distance_cost;
            score -= connection_gain(inputs, candidate, decode_connection_gain);
            score += failure_cost * failure_share(inputs.health, candidate.id);
            return score + jitter * inputs.draw();
        });
}

room_summary
summarize_room(const selection_inputs& inputs, const decode_request& wanted) {
    room_summary summary;
    std::vector<engine_memory> memories;
    const auto memory = static_cast<double>(
        inputs.target.engine ? inputs.target.engine->memory_tokens : 0);
    for (const traffic::server* engine :
         traffic::open_servers(inputs.servers, inputs.target.name)) {
        if (!decode_phase(engine->phase) || !in_scope(inputs, *engine))
            continue;
        ++summary.engines;
        const double held =
            traffic::total(inputs.loads, engine->id).memory_tokens;
        const base::milliseconds unavailable_for = std::max(
            avoided_for(inputs.health, engine->id, inputs.now),
            time_until_token(inputs.health.limits, engine->id, inputs.now));
        memories.push_back(
            {memory * wanted.memory_share - held, held, unavailable_for});
        if (unavailable_for > base::milliseconds{0})
            ++summary.avoided;
        else
            summary.max_room = std::max(summary.max_room, memory - held);
    }
    summary.forecast =
        forecast_room(memories, wanted.memory_tokens, inputs.mean_hold);
    return summary;
}

} // namespace mintknot::policy
