/// @file
/// What mintknotd-platform writes: calls, settings, datagrams, metrics.

#include "expected_text.hpp"
#include "names.hpp"
#include "protocol.hpp"
#include "settings_file.hpp"

#include <mintknot/http1/serialize.hpp>
#include <mintknot/peers/heartbeat.hpp>
#include <mintknot/relay/relay_metrics.hpp>
#include <mintknot/scheduling/messages.hpp>
#include <mintknot/state/change_message.hpp>

#include <criterion/criterion.h>
#include <fmt/format.h>

using namespace mintknot;
using compatibility::matches_expected;
using compatibility::to_hex;

namespace {

std::string titled(const std::string& title, const std::string& text) {
    return "== " + title + "\n" + text;
}

std::string without_returns(std::string text) {
    std::erase(text, '\r');
    return text;
}

std::string as_text(const http1::request_head& head) {
    return without_returns(http1::serialize(head, {}));
}

std::string as_text(const http1::field_list& fields) {
    std::string text;
    for (const http1::field& entry : fields)
        text += entry.name + ": " + entry.value + "\n";
    return text;
}

peers::heartbeat sample_heartbeat() {
    peers::heartbeat value;
    value.incarnation = 0xfedcba9876543210ULL;
    value.sequence = 7;
    value.configuration = 12;
    value.servers = 13;
    value.leaving = true;
    value.data_centre = "dc-a";
    value.usage["svc"] = {30, 4};
    value.loads = traffic::load_map{{"i", {2, 100.0, 200.0}}};
    value.warnings.push_back({"j", base::milliseconds(300)});
    value.changes.push_back({"k", base::milliseconds(400)});
    value.waiting["llm"] = 4000.0;
    value.hosts = {"10.0.0.1"};
    return value;
}

scheduling::placement_request
sample_request(policy::placement_kind kind, std::uint64_t number) {
    scheduling::placement_request value;
    value.number = number;
    value.data_centre = "dc-a";
    value.query.service = "llm";
    value.query.data_centre = "dc-b";
    value.query.kind = kind;
    value.query.prompt_tokens = 3000.0;
    value.query.memory_tokens = 3040.0;
    value.query.max_prefill_time = base::milliseconds(450);
    value.query.may_reuse_excluded = true;
    value.query.excluded = {"d1", "d2"};
    value.query.excluded_prefill = {"p1"};
    return value;
}

scheduling::placement_answer sample_answer() {
    scheduling::placement_answer value{9, true, {"d", "p", 500.0}};
    value.placed.capacity = {12, 3, 6400.0, {base::milliseconds(120), 48.5}};
    return value;
}

scheduling::load_report sample_report() {
    scheduling::load_report value;
    value.loads["d"] = {2, 0.0, 6000.0};
    value.avoided = {{"x", base::milliseconds(1500)}};
    value.rates = {{"p", 33.25}};
    return value;
}

std::string datagrams() {
    using policy::placement_kind;
    peers::heartbeat without_loads = sample_heartbeat();
    without_loads.loads.reset();
    scheduling::placement_answer unforeseen = sample_answer();
    unforeseen.placed.capacity.forecast.wait.reset();
    std::string text =
        titled("heartbeat", to_hex(encode(sample_heartbeat()))) +
        titled("heartbeat without loads", to_hex(encode(without_loads)));
    std::uint64_t number = 0;
    for (const auto kind :
         {placement_kind::plain, placement_kind::plain_with_free_slot,
          placement_kind::decode, placement_kind::prefill_and_decode}) {
        ++number;
        text += titled(
            fmt::format("placement request {}", number),
            to_hex(scheduling::encode(sample_request(kind, number))));
    }
    return text +
           titled(
               "placement answer",
               to_hex(scheduling::encode(sample_answer()))) +
           titled(
               "placement answer without a forecast",
               to_hex(scheduling::encode(unforeseen))) +
           titled("load report", to_hex(scheduling::encode(sample_report())));
}

std::string peer_calls() {
    using state::collection;
    state::store_answer answer;
    answer.result = state::store_result::ok;
    answer.version = 9;
    answer.documents = {{"i", 7, "text"}, {"j", 9, std::nullopt}};
    std::string text;
    for (const auto what :
         {collection::configuration, collection::servers, collection::leases})
        text += state::to_target({what, 12, base::milliseconds{700}}) + "\n";
    return titled("targets", text) +
           titled("answer", to_hex(state::to_body(answer)));
}

http1::request_head caller_request() {
    http1::request_head head;
    head.method = "POST";
    head.target = "/v1/x?y=%20z";
    head.fields = {{"Host", "h"}, {"X-Other", "1"}, {"Connection", "close"}};
    for (std::string_view name : platform::names::router_fields)
        head.fields.push_back({std::string(name), "from the caller"});
    head.fields.push_back({"X-Mintknot-Request-Id", "r1"});
    return head;
}

std::string outgoing_calls(const platform::protocol& protocol) {
    relay::call_parameters whole;
    whole.server_id = "i-1";
    whole.time_left = base::milliseconds(1234);
    relay::call_parameters prefill = whole;
    prefill.stage = relay::call_stage::prefill;
    relay::call_parameters resumed = whole;
    resumed.prefill_result =
        protocol.result_location("127.0.0.1:9000", "handle-1");
    resumed.resume_after = 41;
    const http1::request_head caller = caller_request();
    return titled(
               "whole call",
               as_text(protocol.forwarded_request(caller, whole))) +
           titled(
               "prefill",
               as_text(protocol.forwarded_request(caller, prefill))) +
           titled(
               "resumed decode",
               as_text(protocol.forwarded_request(caller, resumed)));
}

std::string own_calls(const platform::protocol& protocol) {
    const relay::own_call order = protocol.order_call(
        {traffic::engine_phase::prefill, "holder/1", 17, 3}, "i-1");
    return titled(
               "release",
               as_text(protocol.release_request("handle-1", "i-1"))) +
           titled("health", as_text(protocol.health_request("/up", "i-1"))) +
           titled("report", as_text(protocol.report_request("i-1"))) +
           titled("order", as_text(order.head) + order.body + "\n") +
           titled(
               "own answer",
               as_text(protocol.own_answer("r1", base::milliseconds(1250))));
}

/// Every field of the settings file, each with a value that is no default.
constexpr std::string_view all_settings = R"(node=front-1
zone=dc-a
ip=127.0.0.3
listen.front=127.0.0.3:8080
listen.readiness=127.0.0.3:8081
port_range=7000,7099
seeds=127.0.0.4:7000,127.0.0.5:7000
bounds.grace_s=5.5
bounds.drain_ms=1700
bounds.retry_budget_ratio=0.3
bounds.budget_extra=11
bounds.budget_window_s=8
bounds.lease_ms=2500
limits.max_fds=1024
limits.memory_mb=64
platform.address=127.0.0.2:9000
)";

std::string settings_read() {
    const auto read = platform::read_settings(all_settings);
    cr_assert(read.ok());
    const runtime::instance_settings& value = read->instance;
    return fmt::format(
        "{}name {}\ndata centre {} {}\nentry {}\nreadiness {}\npeer {}\n"
        "seeds {}\ngrace {}\ndrain {}\nratio {}\nextra {}\nwindow {}\n"
        "lease {}\ncallers {}\nbodies {}\nstore {}\nvariable {}\n",
        all_settings, value.name, value.data_centre, value.relay.data_centre,
        base::to_string(value.entry), base::to_string(value.readiness),
        base::to_string(value.peer), value.seed_hosts.size(),
        value.grace.count(), value.drain_bound.count(),
        value.retry_bounds.ratio, value.retry_bounds.extra,
        value.retry_bounds.window.count(), value.order_lease.count(),
        value.relay.max_callers, value.relay.max_caller_bytes,
        base::to_string(read->store), platform::names::settings_variable);
}

std::string metric_names() {
    relay::relay_metrics metrics;
    metrics.count_request(
        {"route", "answered", base::milliseconds(10), base::milliseconds(20)});
    for (const auto result :
         {policy::call_result::good, policy::call_result::failed,
          policy::call_result::rejected, policy::call_result::unreachable,
          policy::call_result::silent, policy::call_result::slow,
          policy::call_result::misdirected})
        metrics.count_call(result);
    metrics.count_retry("server_failure");
    metrics.count_caller_close("caller_left");
    metrics.set_gauge("ready", 1.0);
    metrics.set_build({"1.2.3", "0123456789ab"});
    return metrics.text();
}

} // namespace

Test(router_compatibility, datagrams_between_instances_keep_their_bytes) {
    cr_assert(matches_expected("router_datagrams.txt", datagrams()));
}

Test(router_compatibility, calls_between_instances_keep_their_bytes) {
    cr_assert(matches_expected("router_peer_calls.txt", peer_calls()));
}

Test(router_compatibility, calls_to_servers_keep_their_names) {
    const platform::protocol protocol;
    cr_assert(matches_expected(
        "router_calls.txt", outgoing_calls(protocol) + own_calls(protocol)));
}

Test(router_compatibility, settings_keep_their_names) {
    cr_assert(matches_expected("router_settings.txt", settings_read()));
}

Test(router_compatibility, metrics_keep_their_names) {
    cr_assert(matches_expected("router_metrics.txt", metric_names()));
}
