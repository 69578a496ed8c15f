#include <mintknot/scheduling/messages.hpp>

#include <criterion/criterion.h>

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
    sent.placed.denial = policy::capacity_denial::over_share;
    sent.placed.expected_wait = base::milliseconds(120);
    const auto value = decode(encode(sent));
    cr_assert(value.ok());
    const auto& got = std::get<placement_answer>(*value);
    cr_assert(got.placed.denial == policy::capacity_denial::over_share);
    cr_assert(got.placed.expected_wait == base::milliseconds(120));
    cr_assert(got.servers.empty());
    cr_assert(got.placed.denied_by.kept_for.empty());
}

// Guards against a denial whose reasons are known at the scheduler only.
Test(scheduling_messages, a_denial_tells_what_it_rests_on) {
    placement_answer sent{9, true, {}};
    sent.placed.denial = policy::capacity_denial::reserved_for_priority;
    sent.placed.denied_by = {
        21000.0, 15700.0, base::milliseconds(80), "priority 0"};
    const auto value = decode(encode(sent));
    cr_assert(value.ok());
    const policy::denial_inputs& got =
        std::get<placement_answer>(*value).placed.denied_by;
    cr_assert(got.free == 21000.0 && got.kept == 15700.0);
    cr_assert(got.shortage_age == base::milliseconds(80));
    cr_assert(got.kept_for == "priority 0");
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
