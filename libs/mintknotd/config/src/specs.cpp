#include <mintknot/config/specs.hpp>

#include <mintknot/base/json_reader.hpp>

#include <algorithm>

namespace mintknot::config {

namespace {

using base::json_errors;
using base::json_reader;
using base::number_range;

constexpr number_range any_milliseconds{1, 3'600'000};
constexpr double highest_weight = 1000;
constexpr double highest_rate = 1e9;
constexpr std::size_t digest_length = 64;

/// Runs a reader over a spec and returns what it filled in, or the errors.
template<class Spec, class Read>
absl::StatusOr<Spec> read_spec(const nlohmann::json& document, Read read) {
    json_errors errors;
    json_reader reader(document, "spec", errors);
    Spec spec;
    read(reader, spec);
    reader.finish();
    if (auto status = errors.status(); !status.ok())
        return status;
    return spec;
}

void read_objective(json_reader& reader, objective& goal) {
    goal.goodput = reader.real("goodput", goal.goodput, 0, highest_weight);
    goal.wasted_prefill =
        reader.real("wasted_prefill", goal.wasted_prefill, 0, highest_weight);
}

void read_call_rule(json_reader& reader, std::vector<call_rule>& rules) {
    call_rule rule;
    rule.method = reader.text("method", "");
    rule.path_prefix = reader.text("path_prefix", "");
    rule.repeatable = reader.boolean("repeatable", false);
    rules.push_back(std::move(rule));
}

pool_role role_from(const std::string& word) {
    if (word == "prefill")
        return pool_role::prefill;
    if (word == "decode")
        return pool_role::decode;
    return word == "plain" ? pool_role::plain : pool_role::both;
}

bool is_digest(const std::string& text) {
    return text.size() == digest_length &&
           text.find_first_not_of("0123456789abcdef") == std::string::npos;
}

template<class Parsed> absl::Status status_of(const Parsed& parsed) {
    return parsed.status();
}

} // namespace

absl::StatusOr<service_spec> parse_service(const nlohmann::json& spec) {
    return read_spec<
        service_spec>(spec, [](json_reader& reader, service_spec& service) {
        const auto type = reader.choice("type", "model", {"model", "plain"});
        service.type =
            type == "plain" ? service_type::plain : service_type::model;
        if (service.type == service_type::model)
            service.model = reader.required_text("model");
        reader.object("objective", [&](json_reader& inner) {
            read_objective(inner, service.goal);
        });
        service.most_queued = static_cast<std::size_t>(reader.number(
            "most_queued", static_cast<std::int64_t>(service.most_queued),
            {0, 100000}));
        reader.objects("calls", [&](json_reader& inner) {
            read_call_rule(inner, service.calls);
        });
        service.call_timeout = reader.duration(
            "call_timeout_ms", service.call_timeout, any_milliseconds);
    });
}

absl::StatusOr<pool_spec> parse_pool(const nlohmann::json& spec) {
    return read_spec<pool_spec>(spec, [](json_reader& reader, pool_spec& pool) {
        pool.service = reader.required_name("service");
        pool.role = role_from(reader.choice(
            "role", "both", {"prefill", "decode", "both", "plain"}));
        pool.most_ejected =
            reader.real("most_ejected", pool.most_ejected, 0, 1);
        pool.floor = static_cast<std::size_t>(reader.number(
            "floor", static_cast<std::int64_t>(pool.floor), {0, 10000}));
    });
}

absl::StatusOr<backend_server_spec>
parse_backend_server(const nlohmann::json& spec) {
    return read_spec<backend_server_spec>(
        spec, [](json_reader& reader, backend_server_spec& server) {
            server.pool = reader.required_name("pool");
            server.where = reader.required_address("address");
            server.data_centre = reader.required_name("data_centre");
            server.checks_fences =
                reader.boolean("checks_fences", server.checks_fences);
            server.leaving = reader.boolean("leaving", server.leaving);
            server.link_tokens_per_second = reader.real(
                "link_tokens_per_second", server.link_tokens_per_second, 1,
                highest_rate);
            server.prefill_tokens_per_second = reader.real(
                "prefill_tokens_per_second", server.prefill_tokens_per_second,
                1, highest_rate);
            server.most_open = static_cast<std::size_t>(reader.number(
                "most_open", static_cast<std::int64_t>(server.most_open),
                {1, 100000}));
        });
}

absl::StatusOr<request_class_spec>
parse_request_class(const nlohmann::json& spec) {
    return read_spec<request_class_spec>(
        spec, [](json_reader& reader, request_class_spec& request_class) {
            request_class.first_token = reader.duration(
                "first_token_ms", request_class.first_token, any_milliseconds);
            request_class.per_token = reader.duration(
                "per_token_ms", request_class.per_token, any_milliseconds);
            request_class.priority =
                static_cast<int>(reader.number("priority", 0, {-100, 100}));
            request_class.weight =
                reader.real("weight", request_class.weight, 0, highest_weight);
            request_class.deadline = reader.duration(
                "deadline_ms", request_class.deadline, any_milliseconds);
            request_class.retry_percent = reader.real(
                "retry_percent", request_class.retry_percent, 0, 100);
        });
}

absl::StatusOr<organisation_spec>
parse_organisation(const nlohmann::json& spec) {
    return read_spec<organisation_spec>(
        spec, [](json_reader& reader, organisation_spec& organisation) {
            organisation.key_digests = reader.texts("key_sha256");
            if (!std::all_of(
                    organisation.key_digests.begin(),
                    organisation.key_digests.end(), is_digest))
                reader.reject(
                    "key_sha256", "a text of another form",
                    "64 lower-case hexadecimal digits for each key");
            organisation.classes = reader.texts("classes");
            organisation.most_open = static_cast<std::size_t>(reader.number(
                "most_open", static_cast<std::int64_t>(organisation.most_open),
                {1, 100000}));
        });
}

absl::StatusOr<planned_change_spec>
parse_planned_change(const nlohmann::json& spec) {
    return read_spec<planned_change_spec>(
        spec, [](json_reader& reader, planned_change_spec& change) {
            const auto type = reader.choice(
                "type", "model_version", {"model_version", "adapter", "role"});
            if (type == "adapter")
                change.type = change_type::adapter;
            else if (type == "role")
                change.type = change_type::role;
            change.pool = reader.required_name("pool");
            change.value = reader.required_text("value");
            const auto state =
                reader.choice("state", "paused", {"run", "paused", "aborted"});
            if (state == "run")
                change.state = change_state::run;
            else if (state == "aborted")
                change.state = change_state::aborted;
        });
}

absl::Status check_spec(resource_kind kind, const nlohmann::json& spec) {
    switch (kind) {
    case resource_kind::service:
        return status_of(parse_service(spec));
    case resource_kind::pool:
        return status_of(parse_pool(spec));
    case resource_kind::backend_server:
        return status_of(parse_backend_server(spec));
    case resource_kind::request_class:
        return status_of(parse_request_class(spec));
    case resource_kind::organisation:
        return status_of(parse_organisation(spec));
    case resource_kind::planned_change:
        return status_of(parse_planned_change(spec));
    }
    return absl::InternalError("unknown kind");
}

bool is_repeatable(
    const service_spec& service, std::string_view method,
    std::string_view path) {
    for (const call_rule& rule : service.calls) {
        const bool method_fits = rule.method.empty() || rule.method == method;
        if (method_fits && path.starts_with(rule.path_prefix))
            return rule.repeatable;
    }
    return method == "GET" || method == "HEAD" || method == "OPTIONS";
}

std::string_view to_string(pool_role role) noexcept {
    switch (role) {
    case pool_role::prefill:
        return "prefill";
    case pool_role::decode:
        return "decode";
    case pool_role::both:
        return "both";
    case pool_role::plain:
        return "plain";
    }
    return "both";
}

} // namespace mintknot::config
