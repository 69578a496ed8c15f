#include <mintknot/config/settings.hpp>

#include <mintknot/base/json_reader.hpp>

#include <fmt/format.h>

#include <algorithm>
#include <fstream>
#include <sstream>

namespace mintknot::config {

namespace {

using base::json_reader;
using base::number_range;

constexpr number_range milliseconds_range{1, 3'600'000};
constexpr number_range body_range{1024, 1024LL * 1024 * 1024};
constexpr number_range held_range{1024, 64LL * 1024 * 1024 * 1024};
constexpr number_range open_range{1, 100000};
constexpr number_range kept_range{1, 10'000'000};

std::size_t read_size(
    json_reader& reader, std::string_view field, std::size_t fallback,
    number_range range) {
    return static_cast<std::size_t>(
        reader.number(field, static_cast<std::int64_t>(fallback), range));
}

void read_tls(json_reader& reader, tls_settings& tls) {
    reader.object("tls", [&](json_reader& inner) {
        tls.certificate_file = inner.required_text("certificate_file");
        tls.private_key_file = inner.required_text("private_key_file");
    });
}

/// Without a value there is room for one body in chunks of a byte, which take
/// six bytes for each, beside others.
void read_held_bytes(json_reader& reader, caller_settings& caller) {
    constexpr std::size_t bodies = 8;
    caller.most_held_bytes =
        std::max(caller.most_held_bytes, bodies * caller.most_body_bytes);
    caller.most_held_bytes = read_size(
        reader, "most_held_bytes", caller.most_held_bytes, held_range);
    if (caller.most_held_bytes < 2 * caller.most_body_bytes)
        reader.reject(
            "most_held_bytes", fmt::format("{}", caller.most_held_bytes),
            "at least twice most_body_bytes");
}

void read_caller(json_reader& reader, caller_settings& caller) {
    caller.listen = reader.required_address("listen");
    read_tls(reader, caller.tls);
    caller.most_open_requests = read_size(
        reader, "most_open_requests", caller.most_open_requests, open_range);
    caller.most_body_bytes = read_size(
        reader, "most_body_bytes", caller.most_body_bytes, body_range);
    read_held_bytes(reader, caller);
    caller.resume_grace =
        reader.duration("resume_grace_ms", caller.resume_grace, {0, 600000});
}

void read_operators(json_reader& reader, operator_settings& operators) {
    operators.listen = reader.required_address("listen");
    read_tls(reader, operators.tls);
    reader.objects("keys", [&](json_reader& inner) {
        operator_key key;
        key.name = inner.required_name("name");
        key.key_digest = inner.required_text("key_sha256");
        operators.keys.push_back(std::move(key));
    });
    if (operators.keys.empty())
        reader.reject("keys", "no key", "at least one");
}

void read_peers(json_reader& reader, peer_settings& peers) {
    peers.rpc = reader.required_address("rpc");
    peers.heartbeat = reader.required_address("heartbeat");
    for (const std::string& text : reader.texts("seeds")) {
        const auto seed = base::parse_address(text);
        if (seed.ok())
            peers.seeds.push_back(*seed);
        else
            reader.reject(
                "seeds", "'" + text + "'", "addresses such as 127.0.0.1:7000");
    }
    peers.heartbeat_interval = reader.duration(
        "heartbeat_interval_ms", peers.heartbeat_interval, {10, 60000});
    peers.gone_after =
        reader.duration("gone_after_ms", peers.gone_after, {50, 600000});
    if (peers.gone_after < 3 * peers.heartbeat_interval)
        reader.reject(
            "gone_after_ms", fmt::format("{}", peers.gone_after.count()),
            "at least three heartbeat intervals");
}

void read_platform(json_reader& reader, platform_settings& platform) {
    platform.where = reader.required_address("address");
    platform.timeout =
        reader.duration("timeout_ms", platform.timeout, milliseconds_range);
    platform.poll_interval = reader.duration(
        "poll_interval_ms", platform.poll_interval, milliseconds_range);
    platform.log_kept =
        read_size(reader, "log_kept", platform.log_kept, {100, 1'000'000});
    platform.claims_kept = std::chrono::hours{reader.number(
        "claims_kept_hours", platform.claims_kept.count(), {1, 24 * 365})};
}

void read_engines(json_reader& reader, engine_settings& engines) {
    engines.report_interval = reader.duration(
        "report_interval_ms", engines.report_interval, milliseconds_range);
    engines.idle_timeout = reader.duration(
        "idle_timeout_ms", engines.idle_timeout, milliseconds_range);
    engines.orphan_grace = reader.duration(
        "orphan_grace_ms", engines.orphan_grace, milliseconds_range);
}

void read_all(json_reader& reader, settings& result) {
    result.instance = reader.required_name("instance");
    result.data_centre = reader.required_name("data_centre");
    result.log_level = reader.choice(
        "log_level", result.log_level, {"debug", "info", "warning", "error"});
    result.stop_accept =
        reader.duration("stop_accept_ms", result.stop_accept, {0, 600000});
    result.stop_deadline = reader.duration(
        "stop_deadline_ms", result.stop_deadline, milliseconds_range);
    result.decisions_kept =
        read_size(reader, "decisions_kept", result.decisions_kept, kept_range);
    for (const char* part : {"caller", "operators", "peers", "platform"})
        if (!reader.has(part))
            reader.reject(part, "nothing", "an object: the part is required");
    reader.object(
        "caller", [&](json_reader& part) { read_caller(part, result.caller); });
    reader.object("operators", [&](json_reader& part) {
        read_operators(part, result.operators);
    });
    reader.object(
        "peers", [&](json_reader& part) { read_peers(part, result.peers); });
    reader.object("platform", [&](json_reader& part) {
        read_platform(part, result.platform);
    });
    reader.object("engines", [&](json_reader& part) {
        read_engines(part, result.engines);
    });
}

} // namespace

absl::StatusOr<settings> parse_settings(std::string_view text) {
    const auto document = base::parse_json(text);
    if (!document.ok())
        return document.status();
    base::json_errors errors;
    json_reader reader(*document, "", errors);
    settings result;
    read_all(reader, result);
    reader.finish();
    if (auto status = errors.status(); !status.ok())
        return status;
    return result;
}

absl::StatusOr<settings> load_settings(const std::string& file) {
    std::ifstream input(file);
    if (!input)
        return absl::NotFoundError(
            fmt::format("the settings file '{}' cannot be read", file));
    std::ostringstream text;
    text << input.rdbuf();
    return parse_settings(text.str());
}

} // namespace mintknot::config
