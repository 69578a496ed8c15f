/// @file
/// The typed contents of resources, and their checks.
#ifndef MINTKNOT_CONFIG_SPECS_HPP
#define MINTKNOT_CONFIG_SPECS_HPP

#include <mintknot/base/address.hpp>
#include <mintknot/base/time.hpp>
#include <mintknot/config/resource.hpp>

#include <absl/status/statusor.h>

#include <cstdint>
#include <string>
#include <vector>

namespace mintknot::config {

/// What a placement optimises; the weights are relative to each other.
struct objective {
    double goodput = 1.0;
    double wasted_prefill = 1.0;
};

enum class service_type { model, plain };

/// A rule that says whether calls of a plain service may be repeated.
struct call_rule {
    std::string method; ///< Such as "POST"; empty: any.
    std::string path_prefix;
    bool repeatable = false;
};

struct service_spec {
    service_type type = service_type::model;
    std::string model; ///< Name in requests; for model services.
    objective goal;
    std::size_t most_queued = 256;
    std::vector<call_rule> calls; ///< For plain services; first match counts.
    base::milliseconds call_timeout{10000};
};

enum class pool_role { prefill, decode, both, plain };

struct pool_spec {
    std::string service;
    pool_role role = pool_role::both;
    /// Share of the pool that may be ejected for errors at the same time.
    double most_ejected = 0.5;
    /// Backend servers that a planned change must leave in service.
    std::size_t floor = 1;
};

struct backend_server_spec {
    std::string pool;
    base::address where;
    std::string data_centre;
    bool checks_fences = false;
    bool leaving = false;
    /// Rate of the link on which its KV cache leaves, in tokens per second.
    double link_tokens_per_second = 200000;
    /// Prefill rate before any was observed, in tokens per second.
    double prefill_tokens_per_second = 20000;
    /// Requests a plain server serves at once.
    std::size_t most_open = 64;
};

struct request_class_spec {
    base::milliseconds first_token{1000};
    base::milliseconds per_token{60};
    int priority = 0;
    double weight = 1.0; ///< In the weighted goodput.
    base::milliseconds deadline{60000};
    /// Retries allowed for each 100 requests.
    double retry_percent = 10.0;
};

struct organisation_spec {
    std::vector<std::string> key_digests; ///< SHA-256, hexadecimal.
    std::vector<std::string> classes;     ///< Empty: all.
    std::size_t most_open = 64;           ///< On one instance.
};

enum class change_type { model_version, adapter, role };
enum class change_state { run, paused, aborted };

struct planned_change_spec {
    change_type type = change_type::model_version;
    std::string pool;
    std::string value; ///< The wanted version, adapter or role.
    change_state state = change_state::paused;
};

/// Each parser reports every wrong field with its path below "spec".
absl::StatusOr<service_spec> parse_service(const nlohmann::json& spec);
absl::StatusOr<pool_spec> parse_pool(const nlohmann::json& spec);
absl::StatusOr<backend_server_spec>
parse_backend_server(const nlohmann::json& spec);
absl::StatusOr<request_class_spec>
parse_request_class(const nlohmann::json& spec);
absl::StatusOr<organisation_spec>
parse_organisation(const nlohmann::json& spec);
absl::StatusOr<planned_change_spec>
parse_planned_change(const nlohmann::json& spec);

/// Checks a spec of any kind.
absl::Status check_spec(resource_kind kind, const nlohmann::json& spec);

/// @return whether a call of a plain service may be sent twice. Without a
/// rule, only GET, HEAD and OPTIONS may.
bool is_repeatable(
    const service_spec& service, std::string_view method,
    std::string_view path);

std::string_view to_string(pool_role role) noexcept;

} // namespace mintknot::config

#endif
