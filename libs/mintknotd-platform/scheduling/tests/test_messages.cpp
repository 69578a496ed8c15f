#include <mintknot/scheduling/messages.hpp>

#include <criterion/criterion.h>
#include <nlohmann/json.hpp>

#include <cmath>

using namespace mintknot;
using namespace mintknot::scheduling;

Test(scheduling_messages, request_round_trip) {
    placement_request sent;
    sent.number = 7;
    sent.data_centre = "a";
    sent.query.service = "llm";
    sent.query.kind = policy::placement_kind::prefill_and_decode;
    sent.query.prompt_tokens = 3000.0;
    sent.query.memory_tokens = 3040.0;
    sent.query.max_prefill_time = base::milliseconds(450);
    sent.query.may_reuse_excluded = true;
    sent.query.excluded = {"d1", "d2"};
    sent.query.excluded_prefill = {"p1"};
    sent.query.data_centre = "a";
    const auto value = decode(encode(sent));
    cr_assert(value.ok());
    const auto& got = std::get<placement_request>(*value);
    cr_assert(got.number == 7 && got.data_centre == "a");
    cr_assert(got.query.service == "llm");
    cr_assert(got.query.kind == sent.query.kind);
    cr_assert(got.query.prompt_tokens == 3000.0);
    cr_assert(got.query.memory_tokens == 3040.0);
    cr_assert(got.query.max_prefill_time == sent.query.max_prefill_time);
    cr_assert(got.query.may_reuse_excluded);
    cr_assert(got.query.excluded == sent.query.excluded);
    cr_assert(got.query.excluded_prefill == sent.query.excluded_prefill);
    cr_assert(got.query.data_centre == "a");
}

Test(scheduling_messages, an_earlier_build_reads_a_query_with_a_version) {
    placement_request sent;
    sent.query.service = "llm";
    sent.query.excluded = {"d1", "w1"};
    sent.query.version = "v1.2";
    const std::string datagram = encode(sent);
    const auto value = decode(datagram);
    cr_assert(value.ok());
    const auto& got = std::get<placement_request>(*value).query;
    cr_assert(got.version == "v1.2");
    cr_assert(got.excluded == sent.query.excluded);
    // An earlier build reads the version as one more server to exclude.
    const auto row = nlohmann::json::from_msgpack(datagram);
    cr_assert(row.size() == 12);
    cr_assert(row.at(9).size() == 3);
    for (const nlohmann::json& id : row.at(9))
        cr_assert(id.is_string());
}

Test(scheduling_messages, the_row_of_an_earlier_build_has_no_version) {
    placement_answer sent;
    traffic::server server;
    server.id = "d1";
    server.version = "v1.2";
    sent.servers = {{server, 7}};
    auto row = nlohmann::json::from_msgpack(encode(sent));
    cr_assert(
        std::get<placement_answer>(*decode(encode(sent)))
            .servers[0]
            .value.version == "v1.2");
    row.at(10).at(0).erase(9);
    const auto bytes = nlohmann::json::to_msgpack(row);
    const auto earlier = decode(std::string(bytes.begin(), bytes.end()));
    cr_assert(earlier.ok());
    cr_assert(
        std::get<placement_answer>(*earlier).servers[0].value.version.empty());
}

Test(scheduling_messages, claim_round_trip) {
    placement_request sent;
    sent.query.service = "llm";
    sent.query.claim = policy::capacity_claim{
        0,
        "school",
        base::milliseconds(700),
        base::milliseconds(13900),
        0xfedcba9876543210U,
        true,
        false,
        true};
    const auto value = decode(encode(sent));
    cr_assert(value.ok());
    const auto& got = std::get<placement_request>(*value).query.claim;
    cr_assert(got.has_value());
    cr_assert(got->priority == 0 && got->organisation == "school");
    cr_assert(got->target_left == base::milliseconds(700));
    cr_assert(got->deadline_left == base::milliseconds(13900));
    cr_assert(got->digest == 0xfedcba9876543210U);
    cr_assert(got->caller_retry && !got->waiting && got->begun);
    sent.query.claim.reset();
    const auto without = decode(encode(sent));
    cr_assert(!std::get<placement_request>(*without).query.claim);
}

Test(scheduling_messages, denial_round_trip) {
    placement_answer sent{9, true, {}};
    sent.placed.denial = policy::capacity_denial::reserved_for_priority;
    sent.placed.expected_wait = base::milliseconds(120);
    const auto value = decode(encode(sent));
    cr_assert(value.ok());
    const auto& got = std::get<placement_answer>(*value);
    cr_assert(
        got.placed.denial == policy::capacity_denial::reserved_for_priority);
    cr_assert(got.placed.expected_wait == base::milliseconds(120));
    cr_assert(got.servers.empty());
}

Test(scheduling_messages, answer_round_trip) {
    placement_answer sent{9, true, {"d", "p", 500.0}};
    sent.placed.capacity = {12, 3, 6400.0, {base::milliseconds(120), 48.5}};
    const auto value = decode(encode(sent));
    cr_assert(value.ok());
    const auto& got = std::get<placement_answer>(*value);
    cr_assert(got.number == 9 && got.knows_service);
    cr_assert(got.placed.server == "d" && got.placed.prefill == "p");
    cr_assert(got.placed.tokens_ahead == 500.0);
    cr_assert(got.placed.capacity.engines == 12);
    cr_assert(got.placed.capacity.avoided == 3);
    cr_assert(got.placed.capacity.max_free_tokens == 6400.0);
    cr_assert(got.placed.capacity.forecast.wait == base::milliseconds(120));
    cr_assert(got.placed.capacity.forecast.release_rate == 48.5);
    sent.placed.capacity.forecast.wait.reset();
    const auto unforeseen = decode(encode(sent));
    cr_assert(unforeseen.ok());
    cr_assert(
        !std::get<placement_answer>(*unforeseen).placed.capacity.forecast.wait);
}

Test(scheduling_messages, report_round_trip) {
    load_report sent;
    sent.loads["d"] = {2, 0.0, 6000.0};
    sent.avoided = {{"x", base::milliseconds(1500)}};
    sent.rates = {{"p", 33.25}};
    const auto value = decode(encode(sent));
    cr_assert(value.ok());
    const auto& got = std::get<load_report>(*value);
    cr_assert(got.loads.at("d").calls == 2);
    cr_assert(got.loads.at("d").memory_tokens == 6000.0);
    cr_assert(got.avoided.at(0).server_id == "x");
    cr_assert(got.avoided.at(0).left == base::milliseconds(1500));
    cr_assert(got.rates.at(0).rate == 33.25);
}

Test(scheduling_messages, malformed_datagrams_are_rejected) {
    cr_assert(!decode("").ok());
    cr_assert(!decode("text").ok());
    const std::string whole =
        encode(placement_answer{9, true, {"d", "p", 500.0}});
    cr_assert(!decode(whole.substr(0, whole.size() - 1)).ok());
    // An answer that stops after its number.
    cr_assert(!decode("\x92\x03\x07").ok());
    // A request of a kind that does not exist.
    std::string unknown = encode(placement_request{});
    unknown[5] = 99;
    cr_assert(!decode(unknown).ok());
}

Test(scheduling_messages, call_results_round_trip) {
    load_report sent;
    sent.results["d"] = {7, 2, 3};
    const auto value = decode(encode(sent));
    cr_assert(value.ok());
    const auto& got = std::get<load_report>(*value);
    cr_assert(got.results.size() == 1);
    const policy::result_counts& counts = got.results.at("d");
    cr_assert(counts.good == 7 && counts.bad == 2 && counts.rejected == 3);
    sent.results["d"] = {-1, 2, 0};
    cr_assert(!decode(encode(sent)).ok());
}

Test(scheduling_messages, server_rows_round_trip) {
    placement_request asked;
    asked.wants_server_rows = true;
    const auto request = decode(encode(asked));
    cr_assert(std::get<placement_request>(*request).wants_server_rows);
    placement_answer sent{9, true, {"d", "", 0.0}};
    traffic::server engine;
    engine.id = "d";
    engine.service = "llm";
    engine.where = {"10.0.0.1", 8080};
    engine.data_centre = "a";
    engine.slots = 12;
    engine.phase = traffic::engine_phase::decode;
    engine.born = 77;
    sent.servers = {{engine, 41}};
    const auto value = decode(encode(sent));
    cr_assert(value.ok());
    const auto& got = std::get<placement_answer>(*value).servers.at(0);
    cr_assert(got.version == 41 && got.value.id == "d");
    cr_assert(got.value.service == "llm" && got.value.data_centre == "a");
    cr_assert(got.value.where == engine.where);
    cr_assert(got.value.slots == 12 && got.value.born == 77);
    cr_assert(got.value.phase == engine.phase);
}

// The ID stands in a field of requests: a line end in it added fields to them.
Test(scheduling_messages, an_id_with_control_characters_is_rejected) {
    for (const char* id : {"d\r\nX: y", "d\n", "\t"}) {
        placement_answer sent{9, true, {"d", "", 0.0}};
        traffic::server engine;
        engine.id = id;
        engine.where = {"10.0.0.1", 8080};
        sent.servers = {{engine, 41}};
        cr_assert(!decode(encode(sent)).ok());
    }
}

// Guards against times that are lost on the way, and against a new element for
// receivers of groups that do not share capacity.
Test(scheduling_messages, times_of_plain_calls_round_trip) {
    load_report sent;
    sent.loads["i"] = {3, 0.0, 0.0};
    const std::string without = encode(sent);
    sent.call_times["i"] = {5, 301.0, 40.0};
    const auto value = decode(encode(sent));
    cr_assert(value.ok());
    const auto& got = std::get<load_report>(*value);
    cr_assert(got.results.empty());
    cr_assert(got.call_times.size() == 1);
    cr_assert(got.call_times.at("i").calls == 5);
    cr_assert(got.call_times.at("i").slot_ms == 301.0);
    cr_assert(got.call_times.at("i").delay_ms == 40.0);
    cr_assert(got.loads.at("i").calls == 3);
    sent.call_times.clear();
    cr_assert(encode(sent) == without, "no new element");
    sent.call_times["i"] = {0, 301.0, 0.0};
    cr_assert(!decode(encode(sent)).ok(), "no calls");
    sent.call_times["i"] = {5, -1.0, 0.0};
    cr_assert(!decode(encode(sent)).ok(), "negative time");
}

// Guards against an admitted call that reads as denied, and against an instance
// that cannot tell the time in the queue from the time in the slot.
Test(scheduling_messages, plain_forecast_round_trip) {
    placement_answer sent{9, true, {"i", "", 0.0}};
    sent.placed.plain =
        policy::plain_forecast{7, base::milliseconds(61), std::nullopt};
    const auto admitted = decode(encode(sent));
    cr_assert(admitted.ok());
    const auto& got = std::get<placement_answer>(*admitted).placed;
    cr_assert(got.denial == policy::capacity_denial::none);
    cr_assert(got.server == "i" && !got.expected_wait);
    cr_assert(got.plain && got.plain->calls_ahead == 7);
    cr_assert(got.plain->service == base::milliseconds(61));
    cr_assert(!got.plain->service_age);
    sent.placed.server.clear();
    sent.placed.denial = policy::capacity_denial::late;
    sent.placed.expected_wait = base::milliseconds(33);
    sent.placed.plain->service_age = base::milliseconds(12);
    const auto denied = decode(encode(sent));
    const auto& refused = std::get<placement_answer>(*denied).placed;
    cr_assert(refused.denial == policy::capacity_denial::late);
    cr_assert(refused.expected_wait == base::milliseconds(33));
    cr_assert(refused.plain->service_age == base::milliseconds(12));
}

namespace {

traffic::memory_profile profile_of_one_stream() {
    traffic::memory_profile profile;
    profile.covered = 8000.0;
    for (std::size_t i = 0; i < traffic::memory_profile::points; ++i) {
        const double part = static_cast<double>(i);
        profile.highest[i] = 5120.0 + 832.0 * part;
        profile.mean[i] = profile.highest[i] * (1.0 - part / 10.0);
        profile.variance[i] = 640.0 * part * 640.0 * part;
    }
    return profile;
}

bool similar(double left, double right) {
    return std::abs(left - right) <= 64.0;
}

} // namespace

// Guards against a scheduler that takes a stream's memory for constant, and
// against profiles that take a large part of an instance's link.
Test(scheduling_messages, memory_profiles_round_trip_in_few_bytes) {
    load_report sent;
    sent.loads["d"] = {1, 0.0, 8000.0};
    const std::size_t without = encode(sent).size();
    sent.loads["d"].profile = profile_of_one_stream();
    const std::string datagram = encode(sent);
    cr_assert(datagram.size() - without <= 24);
    const auto value = decode(datagram);
    cr_assert(value.ok());
    const traffic::memory_profile& got =
        std::get<load_report>(*value).loads.at("d").profile;
    cr_assert(got.covered == 8000.0);
    for (std::size_t i = 0; i < traffic::memory_profile::points; ++i) {
        const traffic::memory_profile& is = sent.loads["d"].profile;
        cr_assert(similar(got.mean[i], is.mean[i]));
        cr_assert(similar(got.highest[i], is.highest[i]));
        cr_assert(
            similar(std::sqrt(got.variance[i]), std::sqrt(is.variance[i])));
    }
}

// Guards against a request whose profile is lost on the way, or is sent by an
// instance that shares no capacity.
Test(scheduling_messages, a_profile_is_sent_behind_the_claim_only) {
    placement_request sent;
    sent.query.memory_tokens = 8000.0;
    const std::string plain = encode(sent);
    sent.query.profile = profile_of_one_stream();
    cr_assert(encode(sent) == plain);
    sent.query.claim.emplace();
    const auto value = decode(encode(sent));
    cr_assert(value.ok());
    const auto& got = std::get<placement_request>(*value).query;
    cr_assert(got.claim && got.profile);
    cr_assert(got.profile->covered == 8000.0);
    cr_assert(similar(got.profile->mean[3], sent.query.profile->mean[3]));
    sent.query.profile.reset();
    const auto without = decode(encode(sent));
    cr_assert(!std::get<placement_request>(*without).query.profile);
}

Test(scheduling_messages, the_outlook_of_an_engine_round_trips) {
    placement_answer sent{7, true, {"d", "", 0}};
    const std::string without = encode(sent);
    sent.placed.outlook = {
        71000.0, base::milliseconds(1500), base::milliseconds(140)};
    const auto value = decode(encode(sent));
    cr_assert(value.ok());
    const policy::placement& got = std::get<placement_answer>(*value).placed;
    cr_assert(got.server == "d");
    cr_assert(got.denial == policy::capacity_denial::none);
    cr_assert(got.outlook.has_value());
    cr_assert(got.outlook->peak_tokens == 71000.0);
    cr_assert(got.outlook->peak_in == base::milliseconds(1500));
    cr_assert(got.outlook->report_age == base::milliseconds(140));
    sent.placed.outlook.reset();
    cr_assert(encode(sent) == without);
    cr_assert(!std::get<placement_answer>(*decode(without)).placed.outlook);
}
