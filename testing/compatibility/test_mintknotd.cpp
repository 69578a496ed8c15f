/// @file
/// What mintknotd writes: rows, settings, messages between instances, metrics.

#include "expected_text.hpp"

#include <mintknot/claims/claim.hpp>
#include <mintknot/config/change.hpp>
#include <mintknot/config/resource.hpp>
#include <mintknot/config/settings.hpp>
#include <mintknot/config/specs.hpp>
#include <mintknot/metrics/traffic_metrics.hpp>
#include <mintknot/rpc/heartbeat_codec.hpp>

#include <criterion/criterion.h>
#include <fmt/format.h>
#include <peer.pb.h>

using namespace mintknot;
using compatibility::matches_expected;
using compatibility::to_hex;

namespace {

constexpr base::steady_time now{std::chrono::hours(1)};

cluster::member sample_member(const std::string& name) {
    cluster::member value;
    value.id = {"dc-a", name, 77};
    value.rpc = {"127.0.0.1", 7000};
    value.heartbeat = {"127.0.0.1", 7001};
    value.state = cluster::member_state::ready;
    value.applied_revision = 12;
    value.last_heard = now - base::milliseconds(250);
    return value;
}

std::string heartbeat_bytes() {
    cluster::heartbeat value;
    value.sender = sample_member("entry-1");
    value.known = {sample_member("entry-2")};
    routing::engine_load load;
    load.read_at = now - base::milliseconds(100);
    value.loads.push_back({"engine-1", load});
    return to_hex(rpc::encode(value, now));
}

std::string claim_rows() {
    claims::claim value{"token",  "holder", "request",
                        "digest", 1700,     claims::claim_state::finished,
                        {}};
    value.answer = {200, "text/plain", "done", true};
    std::string text = claims::row_key({"organisation", "key"}) + "\n" +
                       claims::to_json(value).dump() + "\n";
    for (const auto state :
         {claims::claim_state::running, claims::claim_state::unknown}) {
        value.state = state;
        text += claims::to_json(value).dump() + "\n";
    }
    return text;
}

std::string configuration_rows() {
    std::string text;
    for (const config::resource_kind kind : config::all_kinds) {
        const nlohmann::json spec = {{"field", "value"}};
        text += config::to_json(config::resource{kind, "name", 7, spec}).dump();
        text += "\n";
        text += config::to_json(
                    config::change{7, "id", "ops", kind, "name", false, spec})
                    .dump();
        text += "\n";
    }
    const config::change erased{
        8, "id", "ops", config::resource_kind::pool, "name", true, {}};
    return text + config::to_json(erased).dump() + "\n";
}

/// Every field of each kind of resource; an unknown field is an error.
nlohmann::json spec_with_all_fields(config::resource_kind kind) {
    switch (kind) {
    case config::resource_kind::service:
        return {
            {"type", "plain"},
            {"objective", {{"goodput", 1}, {"wasted_prefill", 2}}},
            {"most_queued", 5},
            {"calls",
             {{{"method", "POST"},
               {"path_prefix", "/p"},
               {"repeatable", true}}}},
            {"call_timeout_ms", 100}};
    case config::resource_kind::pool:
        return {
            {"service", "s"},
            {"role", "both"},
            {"most_ejected", 0.25},
            {"floor", 2}};
    case config::resource_kind::backend_server:
        return {
            {"pool", "p"},
            {"address", "127.0.0.1:1"},
            {"data_centre", "dc"},
            {"checks_fences", true},
            {"leaving", true},
            {"link_tokens_per_second", 10},
            {"prefill_tokens_per_second", 20},
            {"most_open", 3}};
    case config::resource_kind::request_class:
        return {{"first_token_ms", 1}, {"per_token_ms", 2},
                {"priority", 3},       {"weight", 4},
                {"deadline_ms", 5},    {"retry_percent", 6}};
    case config::resource_kind::organisation:
        return {
            {"key_sha256", {std::string(64, 'a')}},
            {"classes", {"c"}},
            {"most_open", 9}};
    case config::resource_kind::planned_change:
        return {
            {"type", "role"},
            {"pool", "p"},
            {"value", "prefill"},
            {"state", "paused"}};
    }
    return {};
}

nlohmann::json spec_of_a_model() {
    return {
        {"type", "model"},
        {"model", "m"},
        {"objective", {{"goodput", 1}, {"wasted_prefill", 2}}},
        {"most_queued", 5}};
}

nlohmann::json settings_with_all_fields() {
    const nlohmann::json tls = {
        {"certificate_file", "c"}, {"private_key_file", "k"}};
    return {
        {"instance", "entry-1"},
        {"data_centre", "dc1"},
        {"log_level", "debug"},
        {"caller",
         {{"listen", "127.0.0.1:8080"},
          {"tls", tls},
          {"most_open_requests", 1},
          {"most_body_bytes", 2048},
          {"resume_grace_ms", 3}}},
        {"operators",
         {{"listen", "127.0.0.1:8081"},
          {"tls", tls},
          {"keys", {{{"name", "ops"}, {"key_sha256", "00"}}}}}},
        {"peers",
         {{"rpc", "127.0.0.1:7000"},
          {"heartbeat", "127.0.0.1:7001"},
          {"seeds", {"127.0.0.1:7101"}},
          {"heartbeat_interval_ms", 40},
          {"gone_after_ms", 500}}},
        {"platform",
         {{"address", "127.0.0.1:9000"},
          {"timeout_ms", 6},
          {"poll_interval_ms", 7},
          {"log_kept", 800},
          {"claims_kept_hours", 9}}},
        {"engines",
         {{"report_interval_ms", 10},
          {"idle_timeout_ms", 11},
          {"orphan_grace_ms", 12}}},
        {"stop_accept_ms", 13},
        {"stop_deadline_ms", 14},
        {"decisions_kept", 15}};
}

} // namespace

Test(mintknotd_compatibility, heartbeats_keep_their_bytes) {
    cr_assert(matches_expected("mintknotd_heartbeat.txt", heartbeat_bytes()));
}

Test(mintknotd_compatibility, messages_between_instances_keep_their_numbers) {
    const auto* file = rpc::wire::heartbeat::descriptor()->file();
    cr_assert(matches_expected("mintknotd_messages.txt", file->DebugString()));
}

Test(mintknotd_compatibility, rows_in_the_store_keep_their_form) {
    cr_assert(matches_expected("mintknotd_claim_rows.txt", claim_rows()));
    cr_assert(
        matches_expected("mintknotd_config_rows.txt", configuration_rows()));
}

Test(mintknotd_compatibility, fields_of_resources_keep_their_names) {
    cr_assert(
        config::check_spec(config::resource_kind::service, spec_of_a_model())
            .ok());
    for (const config::resource_kind kind : config::all_kinds) {
        const absl::Status status =
            config::check_spec(kind, spec_with_all_fields(kind));
        cr_assert(
            status.ok(), "%s: %s", std::string(to_string(kind)).c_str(),
            std::string(status.message()).c_str());
    }
}

Test(mintknotd_compatibility, settings_keep_their_names) {
    const auto read = config::parse_settings(settings_with_all_fields().dump());
    cr_assert(read.ok(), "%s", std::string(read.status().message()).c_str());
    cr_assert(read->caller.tls.private_key_file == "k");
    cr_assert_eq(read->caller.most_open_requests, 1U);
    cr_assert_eq(read->caller.most_body_bytes, 2048U);
    cr_assert(read->caller.resume_grace == base::milliseconds(3));
    cr_assert(read->peers.heartbeat_interval == base::milliseconds(40));
    cr_assert(read->peers.gone_after == base::milliseconds(500));
    cr_assert(read->platform.timeout == base::milliseconds(6));
    cr_assert(read->platform.poll_interval == base::milliseconds(7));
    cr_assert_eq(read->platform.log_kept, 800U);
    cr_assert(read->platform.claims_kept == std::chrono::hours(9));
    cr_assert(read->engines.report_interval == base::milliseconds(10));
    cr_assert(read->engines.idle_timeout == base::milliseconds(11));
    cr_assert(read->engines.orphan_grace == base::milliseconds(12));
    cr_assert(read->stop_accept == base::milliseconds(13));
    cr_assert(read->stop_deadline == base::milliseconds(14));
    cr_assert_eq(read->decisions_kept, 15U);
}

Test(mintknotd_compatibility, metrics_keep_their_names) {
    metrics::traffic_metrics metrics(4);
    metrics.add(
        {"class", "organisation", base::reason::none, base::microseconds(1000),
         base::microseconds(10), 5, true});
    metrics.add_retry("class", base::reason::engine_failed);
    metrics.set_open(1);
    metrics.set_instances(3);
    metrics.set_config_revision(7);
    cr_assert(matches_expected("mintknotd_metrics.txt", metrics.text()));
}
