#include "soak_configuration.hpp"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace mintknot::soak {

namespace {

using nlohmann::json;

json route(
    const std::string& name, const std::string& kind,
    const std::string& service, int attempts, bool resumable,
    int priority = 1) {
    return {
        {"name", name},
        {"host", "soak.example"},
        {"path_prefix", "/" + name + "/"},
        {"kind", kind},
        {"timeout_ms", 4000},
        {"target_latency_ms", 400},
        {"priority", priority},
        {"service", service},
        {"max_attempts", attempts},
        {"resumable", resumable}};
}

/// Memory for four streams of 500 prompt tokens.
constexpr int scarce_engine_tokens = 2500;
constexpr int large_event_tokens = 32;

json engine_document(bool scarce_capacity) {
    json engine = {{"kv_tokens", 100000}, {"handle_ttl_s", 0.5}};
    if (scarce_capacity) {
        engine["kv_tokens"] = scarce_engine_tokens;
        engine["stride"] = large_event_tokens;
    }
    return engine;
}

} // namespace

std::string configuration_text(const configuration_form& form) {
    const int urgent = form.scarce_capacity ? 0 : 1;
    const int patient = form.scarce_capacity ? 2 : 1;
    json routes = {
        route("safe", "safe", "app", 2, false),
        route("unsafe", "unsafe", "app", 1, false),
        route("stream", "streaming", "llm", 1, false, urgent),
        route("resumable", "streaming", "llm", 2, true, patient)};
    routes.push_back(
        route(fmt::format("v{}", form.version), "safe", "app", 2, false));
    for (std::size_t i = 0; i < form.unused_routes; ++i)
        routes.push_back(
            route(fmt::format("unused-{}", i), "safe", "app", 2, false));
    const json document = {
        {"version", form.version},
        {"routes", routes},
        {"services",
         {{{"name", "app"}, {"health_path", "/health"}, {"max_conns", 200}},
          {{"name", "llm"},
           {"health_path", "/health"},
           {"max_conns", 200},
           {"engine", engine_document(form.scarce_capacity)}}}},
        {"limits",
         {{"max_header_bytes", 16384},
          {"max_body_bytes", 4194304},
          {"header_timeout_ms", 3000},
          {"idle_timeout_ms", 15000}}}};
    return document.dump();
}

} // namespace mintknot::soak
