#include "document_mutator.hpp"
#include "documents.hpp"
#include "draw_settings.hpp"
#include "names.hpp"
#include "protocol.hpp"
#include "settings_file.hpp"
#include "store_answers.hpp"

#include <mintknot/base/json_values.hpp>
#include <mintknot/policy/entry_check.hpp>
#include <mintknot/state/store_version.hpp>

#include <criterion/criterion.h>

#include <cmath>

using namespace mintknot;
using namespace mintknot::platform;
using nlohmann::json;

namespace {

constexpr int usual_draws = 2000;

json parse(const char* text) {
    return json::parse(text);
}

const json server_row = parse(
    R"({"service":"llm","address":"10.1.2.3:80","zone":"a","version":"v1",
        "slots":64,"state":"ready","phase":"decode","born":1700000000000,
        "cold_left_ms":0,"seq_no":1})");

const json configuration_row = parse(
    R"({"version":7,"routes":[
         {"name":"r1","host":"h","path_prefix":"/a/","kind":"streaming",
          "timeout_ms":14000,"target_latency_ms":900,"priority":1,
          "service":"llm","max_attempts":2,"resumable":true,
          "target_gap_ms":300,"public":true},
         {"name":"r2","host":"h","path_prefix":"/b/","kind":"unsafe",
          "timeout_ms":1200,"traffic_split":[{"service":"llm","weight":90},
          {"service":"app","weight":10}]}],
        "services":[
         {"name":"llm","health_path":"/health","max_conns":370,
          "engine":{"slots":64,"kv_tokens":37745,"handle_ttl_s":0.5,
          "stride":2}},
         {"name":"app","max_conns":110}],
        "limits":{"max_header_bytes":16384,"max_body_bytes":4194304,
         "header_timeout_ms":3000,"idle_timeout_ms":15000},
        "tenants":[{"name":"o","api_keys":["k"],"rate_per_s":10,"burst":20,
         "unit":"tokens","plain_tokens":50,"priority":2}]})");

const json rows_answer = parse(
    R"({"ver":9,"now_ms":1234,"more":true,"rows":[
         {"table":"servers","key":"i","ver":8,"value":"e30="},
         {"key":"evacuate/a","ver":9,"gone":true}]})");

const json report = parse(
    R"({"phase":"decode","born":1700000000000,"busy":false,"seq_no":2,
        "state":"ready","queued":1,"runs":[["r",10,2,1]]})");

const json prefill = parse(R"({"kv_handle":"3fa0","tokens":1460,"version":1})");

http1::field_list drawn_fields(fuzz::document_mutator& mutator) {
    http1::field_list fields;
    for (const std::string_view name :
         {names::deadline, names::token_count, names::length_hint,
          names::prompt_parts, names::last_event, names::resumes,
          names::authorization, names::retry_after, names::server_limit,
          names::server_leaving, names::request_id, names::seal})
        fields.push_back({std::string(name), mutator.draw_field()});
    return fields;
}

bool is_sane(base::milliseconds time) {
    return time >= base::milliseconds{0} && time <= base::max_read_time;
}

} // namespace

// A row with 1e999, or nested deeply, ended every process that read it.
Test(platform_texts, no_row_of_another_writer_ends_the_process) {
    fuzz::document_mutator mutator(fuzz::seed());
    const int draws = fuzz::draws(usual_draws);
    const documents codec;
    int taken = 0;
    for (int i = 0; i < draws; ++i) {
        const auto server =
            codec.read_server("i", mutator.draw_text(server_row));
        if (!server.ok())
            continue;
        ++taken;
        cr_assert(server->slots >= 0);
    }
    cr_assert(taken > 0);
}

Test(platform_texts, no_configuration_ends_the_process) {
    fuzz::document_mutator mutator(fuzz::seed());
    const int draws = fuzz::draws(usual_draws);
    const documents codec;
    int taken = 0;
    for (int i = 0; i < draws; ++i) {
        const auto config =
            codec.read_configuration(mutator.draw_text(configuration_row));
        if (!config.ok())
            continue;
        ++taken;
        policy::entry_conditions conditions;
        conditions.config = &*config;
        for (const double draw : {0.0, 0.5, 1.0})
            policy::check_entry(conditions, {"h", "/b/x", "k"}, draw);
        for (const traffic::route& route : config->routes) {
            cr_assert(is_sane(route.timeout));
            cr_assert(is_sane(route.target_latency));
        }
        cr_assert(is_sane(config->limits.idle_timeout));
    }
    cr_assert(taken > 0);
}

Test(platform_texts, no_answer_of_the_store_ends_the_process) {
    fuzz::document_mutator mutator(fuzz::seed());
    const int draws = fuzz::draws(usual_draws);
    for (int i = 0; i < draws; ++i) {
        const std::string body = mutator.draw_text(rows_answer);
        const row_page page =
            read_rows(state::collection::configuration, 200, body, 3);
        if (page.answer.result == state::store_result::ok)
            cr_assert(state::era_of(page.answer.version) == 3);
        const state::write_answer written = read_write(0, 200, body, 3);
        cr_assert(written.version == 0 || state::era_of(written.version) == 3);
    }
}

Test(platform_texts, no_answer_of_an_engine_ends_the_process) {
    fuzz::document_mutator mutator(fuzz::seed());
    const int draws = fuzz::draws(usual_draws);
    const protocol codec;
    for (int i = 0; i < draws; ++i) {
        codec.read_report(mutator.draw_text(report));
        const auto result = codec.read_prefill(mutator.draw_text(prefill));
        if (result)
            cr_assert(http1::is_field_text(result->handle));
    }
}

Test(platform_texts, no_header_value_ends_the_process) {
    fuzz::document_mutator mutator(fuzz::seed());
    const int draws = fuzz::draws(usual_draws);
    const protocol codec;
    for (int i = 0; i < draws; ++i) {
        http1::request_head asked;
        asked.fields = drawn_fields(mutator);
        const relay::request_metadata request = codec.read_request(asked);
        cr_assert(std::isfinite(request.prompt_tokens));
        cr_assert(std::isfinite(request.max_output_tokens));
        if (request.deadline)
            cr_assert(is_sane(*request.deadline));
        http1::response_head told;
        told.status = i % 2 == 0 ? 200 : 503;
        told.fields = drawn_fields(mutator);
        codec.read_answer(told);
        const relay::server_notice notice = codec.read_notice(told);
        if (notice.rest)
            cr_assert(is_sane(*notice.rest));
        if (notice.limit)
            cr_assert(std::isfinite(*notice.limit));
    }
}

Test(platform_texts, no_settings_end_the_process) {
    fuzz::document_mutator mutator(fuzz::seed());
    const int draws = fuzz::draws(usual_draws);
    for (int i = 0; i < draws; ++i) {
        std::string text = "node=a\nzone=z\nip=127.0.0.1\n"
                           "listen.front=127.0.0.1:1\n"
                           "listen.readiness=127.0.0.1:2\n"
                           "platform.address=127.0.0.1:3\nport_range=4,5\n";
        for (const char* name :
             {"limits.memory_mb", "limits.max_fds", "limits.cpu_share",
              "bounds.grace_s", "bounds.drain_ms", "bounds.lease_ms",
              "bounds.budget_window_s", "bounds.retry_budget_ratio",
              "bounds.quota_window_s", "bounds.config_apply_ms"})
            text += std::string(name) + "=" + mutator.draw_field() + "\n";
        const auto settings = read_settings(text);
        if (!settings.ok())
            continue;
        cr_assert(is_sane(settings->instance.grace));
        cr_assert(is_sane(settings->instance.drain_bound));
    }
}
