/// @file
/// Two decode engines, and streams whose memory is followed.
#ifndef MINTKNOT_POLICY_TESTS_TWO_ENGINES_HPP
#define MINTKNOT_POLICY_TESTS_TWO_ENGINES_HPP

#include <mintknot/policy/domain_admission.hpp>
#include <mintknot/policy/memory_profile.hpp>

#include <string>

namespace mintknot::policy::tests {

inline const base::steady_time now =
    base::steady_time{} + std::chrono::hours(1);

/// A stream of 70 events of 69 tokens, 50 ms each, that runs already.
inline stream_memory
running_stream(double events = 0.0, double expected_events = 70.0) {
    stream_memory stream;
    stream.prompt = 5000.0;
    stream.tokens_per_event = 69.0;
    stream.expected = expected_events * 69.0;
    stream.max_output = 130.0 * 69.0;
    stream.tail = forecast_output({}, "r", {}, now).tail;
    stream.events = events;
    stream.event_time = base::milliseconds(50);
    stream.counted_at = now;
    return stream;
}

inline traffic::memory_profile profile(const stream_memory& stream) {
    return profile_of(stream, 8000.0, now);
}

/// Two engines of 72,923 tokens, and a request with a profile.
struct two_engines {
    two_engines() {
        service.name = "s";
        service.engine.emplace();
        service.engine->memory_tokens = 72923;
        for (const char* id : {"d", "e"}) {
            traffic::server row;
            row.id = id;
            row.service = "s";
            row.slots = 12;
            row.phase = traffic::engine_phase::decode;
            traffic::apply(servers, id, ++version, row);
        }
        query.service = "s";
        query.kind = placement_kind::decode;
        query.memory_tokens = 8000.0;
        query.profile = profile(running_stream());
    }

    selection_inputs inputs(base::steady_time at = now) {
        selection_inputs made{servers, loads,   health,
                              rates,   service, "",
                              1,       at,      [] { return 0.5; }};
        made.all_loads_known = true;
        made.mean_hold_time = base::milliseconds(3000);
        return made;
    }

    void load_engine(
        const std::string& id, int streams, double events, bool with_profile,
        double expected_events = 70.0) {
        traffic::load_map loaded;
        for (int i = 0; i < streams; ++i) {
            traffic::server_load one{1, 0.0, 8000.0};
            if (with_profile)
                one.profile = profile(running_stream(events, expected_events));
            loaded[id] += one;
        }
        traffic::set_peer(loads, "peer of " + id, loaded, now);
    }

    traffic::service service;
    traffic::server_table servers;
    traffic::load_view loads;
    health_view health;
    prefill_rates rates;
    placement_query query;
    std::uint64_t version = 0;
};

} // namespace mintknot::policy::tests

#endif
