#include "commands.hpp"

#include <mintknot/base/json_reader.hpp>
#include <mintknot/base/status_text.hpp>
#include <mintknot/cli/resource_file.hpp>
#include <mintknot/cli/table.hpp>

#include <fmt/format.h>

#include <cstdio>
#include <thread>

namespace mintknot::cli {

namespace {

using base::field_or;
using nlohmann::json;

constexpr base::milliseconds poll_period{200};

std::string path_of(const config::resource& item) {
    return fmt::format(
        "/v1/resources/{}/{}", config::to_string(item.kind), item.name);
}

/// What became of one resource.
struct applied {
    std::string action;
    std::uint64_t revision = 0;
    operator_answer answer;
};

applied apply_one(operator_client& client, const config::resource& item) {
    const auto current = client.get(path_of(item));
    const auto code = field_or(
        field_or(current.body, "error", json::object()), "code", std::string());
    const bool absent = code == "not_found";
    if (current.code != exit_code::ok && !absent)
        return {"failed", 0, current};
    const auto revision = field_or(current.body, "revision", std::uint64_t{0});
    // A revision in the file is what the operator looked at.
    const auto expected = item.revision != 0 ? item.revision : revision;
    if (!absent && field_or(current.body, "spec", json()) == item.spec)
        return {"unchanged", revision, {}};
    const auto answer = client.put(
        path_of(item), item.spec,
        expected == 0 ? std::string() : std::to_string(expected));
    if (answer.code != exit_code::ok)
        return {"failed", 0, answer};
    return {
        absent ? "created" : "changed",
        field_or(answer.body, "revision", std::uint64_t{0}),
        {}};
}

/// @return names of the instances that do not have the revision yet.
std::vector<std::string>
behind(const operator_answer& status, std::uint64_t revision) {
    std::vector<std::string> names;
    for (const json& item : field_or(status.body, "instances", json::array()))
        if (field_or(item, "applied_revision", std::uint64_t{0}) < revision)
            names.push_back(fmt::format(
                "{}.{}", field_or(item, "data_centre", std::string()),
                field_or(item, "name", std::string())));
    return names;
}

exit_code wait_in_force(
    operator_client& client, std::uint64_t revision,
    std::chrono::seconds limit) {
    const auto deadline = base::steady_clock::now() + limit;
    while (true) {
        const auto status = client.get("/v1/status");
        if (status.code != exit_code::ok)
            return print_error(status);
        const auto late = behind(status, revision);
        if (late.empty()) {
            fmt::print(
                "Revision {} is in force on all {} live instances.\n", revision,
                field_or(status.body, "instances", json::array()).size());
            return exit_code::ok;
        }
        if (base::steady_clock::now() >= deadline) {
            fmt::print(
                stderr, "Revision {} is accepted, but not in force on: {}\n",
                revision, fmt::join(late, ", "));
            return exit_code::refused;
        }
        std::this_thread::sleep_for(poll_period);
    }
}

} // namespace

exit_code validate(const std::string& file) {
    const auto resources = load_resources(file);
    if (!resources.ok()) {
        fmt::print(stderr, "{}\n", base::text_of(resources.status()));
        return exit_code::usage;
    }
    fmt::print("{} resources are well formed.\n", resources->size());
    return exit_code::ok;
}

exit_code apply(const common_options& common, const apply_options& options) {
    const auto resources = load_resources(options.file);
    if (!resources.ok()) {
        fmt::print(stderr, "{}\n", base::text_of(resources.status()));
        return exit_code::usage;
    }
    operator_client client(common.server, common.key);
    table listing{{"KIND", "NAME", "ACTION", "REVISION"}, {}};
    json results = json::array();
    std::uint64_t last = 0;
    exit_code code = exit_code::ok;
    for (const config::resource& item : *resources) {
        const applied result = apply_one(client, item);
        const std::string kind(config::to_string(item.kind));
        last = std::max(last, result.revision);
        listing.rows.push_back(
            {kind, item.name, result.action, std::to_string(result.revision)});
        results.push_back(
            {{"kind", kind},
             {"name", item.name},
             {"action", result.action},
             {"revision", result.revision}});
        if (result.answer.code != exit_code::ok) {
            // What comes later may refer to this one.
            fmt::print(stderr, "{} {}: ", kind, item.name);
            code = print_error(result.answer);
            break;
        }
    }
    if (common.json)
        fmt::print("{}\n", results.dump(2));
    else
        fmt::print("{}", to_string(listing));
    if (code != exit_code::ok || !options.wait)
        return code;
    return wait_in_force(client, last, options.wait_limit);
}

} // namespace mintknot::cli
