#include "scripted_engines.hpp"

#include <mintknot/entry/placer.hpp>
#include <mintknot/entry/request_runner.hpp>

#include <criterion/criterion.h>

using namespace mintknot;
using namespace mintknot::entry;
using tests::decode_script;

namespace {

/// A runner over scripted engines; placements are remembered.
struct scripted_run {
    scripted_run()
        : runner(
              {engines,
               [this](const routing::place_query& query) {
                   queries.push_back(query);
                   return placement_for(query);
               },
               [this](
                   const scheduler_location&, const routing::progress& line) {
                   phases.push_back(line.phase);
               },
               cancels, decisions, metrics},
              {"dc1.e1.7", base::milliseconds{1000}}) {}

    placed placement_for(const routing::place_query& query) const {
        placed where;
        where.request.attempt = query.attempt;
        where.request.prefill_name = "p";
        where.request.decode_name = query.excluded.empty() ? "d1" : "d2";
        where.scheduler = scheduler_location{"s", std::nullopt};
        if (no_room || (only_fresh && !query.prefilled_on.empty()))
            where.request.refused = base::refusal{
                base::reason::no_capacity, "full", base::verdict::not_run};
        return where;
    }

    live_request& run(std::uint64_t max_tokens, double retry_percent = 10) {
        completion_call call;
        call.id = base::make_request_id({"dc1", "e1", 7});
        call.prompt = "prompt";
        call.max_tokens = max_tokens;
        call.class_name = "c";
        call.request_class.retry_percent = retry_percent;
        call.deadline = base::steady_clock::now() + deadline;
        request = std::make_unique<live_request>(std::move(call));
        runner.run(*request);
        return *request;
    }
    std::string kinds() const {
        std::string text;
        for (const auto& record : decisions.find(request->id()))
            text += std::string(audit::to_string(record.kind)) + " ";
        return text;
    }

    tests::scripted_engines engines;
    cancel_queue cancels{
        engines, [](const std::string&) { return std::uint64_t{1}; }};
    audit::decision_log decisions{100};
    metrics::traffic_metrics metrics{4};
    std::vector<routing::place_query> queries;
    std::vector<routing::progress_phase> phases;
    bool no_room = false;
    bool only_fresh = false; ///< A kept result finds no decode engine.
    base::milliseconds deadline{60000};
    std::unique_ptr<live_request> request;
    request_runner runner;
};

} // namespace

Test(request_runner, goes_on_at_the_right_token_after_a_failure) {
    scripted_run run;
    run.engines.scripts = {{3, base::reason::engine_failed}};
    cr_assert(run.run(5).text() == "0,1,2,3,4,");
    cr_assert_eq(run.engines.decodes[1].offset, 3U);
    cr_assert_eq(run.engines.decodes[1].max_tokens, 2U);
    cr_assert(run.engines.prefills[1].prompt == "prompt0,1,2,");
    cr_assert(run.queries[1].excluded == std::vector<std::string>{"d1"});
    cr_assert(run.kinds() == "cancel retry finish ");
    cr_assert_eq(run.cancels.size(), 1U);
}

Test(request_runner, a_kept_result_goes_to_another_decode_engine) {
    scripted_run run;
    run.engines.scripts = {
        {0, base::reason::engine_rejected, base::verdict::not_run, false}};
    cr_assert(run.run(2).text() == "0,1,");
    cr_assert_eq(run.engines.prefills.size(), 1U);
    cr_assert(run.queries[1].prefilled_on == "p");
    cr_assert_eq(run.cancels.size(), 0U);
}

Test(request_runner, a_kept_result_that_nobody_can_take_is_given_up) {
    scripted_run run;
    run.only_fresh = true;
    run.engines.scripts = {
        {0, base::reason::engine_rejected, base::verdict::not_run, false}};
    cr_assert(run.run(2).text() == "0,1,");
    cr_assert_eq(run.engines.prefills.size(), 2U);
    cr_assert_eq(run.cancels.size(), 1U);
    cr_assert(run.kinds() == "retry give_up finish ");
}

Test(request_runner, tokens_that_come_twice_are_sent_once) {
    scripted_run run;
    run.engines.scripts = {
        {3, base::reason::none, base::verdict::ran, true, true}};
    cr_assert(run.run(3).text() == "0,1,2,");
}

Test(request_runner, a_refused_placement_has_not_run) {
    scripted_run run;
    run.no_room = true;
    const auto state = run.run(3).summary();
    cr_assert(state.failed->code == base::reason::no_capacity);
    cr_assert(state.failed->run == base::verdict::not_run);
    cr_assert(run.engines.prefills.empty());
}

Test(request_runner, retries_end_with_the_budget) {
    scripted_run run;
    for (int i = 0; i < 50; ++i)
        run.engines.prefill_failures.push_back(
            {base::reason::engine_failed, "x", base::verdict::may_have_run});
    const auto state = run.run(3, 0).summary();
    // The first token of the bucket's three, then nothing is left.
    cr_assert_eq(run.engines.prefills.size(), 4U);
    cr_assert(state.failed->code == base::reason::engine_failed);
    cr_assert(state.failed->run == base::verdict::may_have_run);
    cr_assert_eq(run.cancels.size(), 4U);
}

Test(request_runner, a_passed_deadline_starts_nothing) {
    scripted_run run;
    run.deadline = base::milliseconds{0};
    cr_assert(
        run.run(3).summary().failed->code == base::reason::deadline_passed);
    cr_assert(run.queries.empty());
}

Test(request_runner, the_scheduler_hears_of_every_step) {
    scripted_run run;
    run.run(1);
    using enum routing::progress_phase;
    const std::vector expected{prefilling, prefilled, decoding, finished};
    cr_assert(run.phases == expected);
}
