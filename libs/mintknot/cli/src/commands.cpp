#include "commands.hpp"

#include <mintknot/base/json_reader.hpp>
#include <mintknot/cli/table.hpp>

#include <fmt/chrono.h>
#include <fmt/format.h>

#include <cstdio>

namespace mintknot::cli {

namespace {

using base::field_or;
using nlohmann::json;

std::string text_or_dash(const json& item, const char* field) {
    const auto position = item.find(field);
    if (position == item.end() || position->is_null())
        return "-";
    return position->is_string() ? position->get<std::string>()
                                 : position->dump();
}

void print_json(const json& document) {
    fmt::print("{}\n", document.dump(2));
}

/// Prints an array of objects, one row each, with the given fields.
void print_rows(
    const json& items, const std::vector<std::string>& headings,
    const std::vector<const char*>& fields) {
    table listing{headings, {}};
    for (const json& item : items) {
        std::vector<std::string> row;
        for (const char* field : fields)
            row.push_back(text_or_dash(item, field));
        listing.rows.push_back(std::move(row));
    }
    fmt::print("{}", to_string(listing));
}

std::string clock_time(std::int64_t ms) {
    constexpr std::int64_t ms_per_second = 1000;
    return fmt::format(
        "{:%H:%M:%S}.{:03}", fmt::gmtime(ms / ms_per_second),
        ms % ms_per_second);
}

void print_decision(const json& record) {
    fmt::print(
        "{}  {:<10} {:<20} {}\n",
        clock_time(field_or(record, "time_ms", std::int64_t{0})),
        field_or(record, "kind", std::string()),
        field_or(record, "reason", std::string()),
        field_or(record, "sentence", std::string()));
    const auto choice = field_or(record, "choice", std::string());
    if (!choice.empty())
        fmt::print("              chosen: {}\n", choice);
    for (const json& item : field_or(record, "candidates", json::array())) {
        const double score = field_or(item, "score", 0.0);
        constexpr double ruled_out = 1e300;
        const std::string shown =
            score > ruled_out ? "ruled out" : fmt::format("{:.3f}", score);
        fmt::print(
            "              option: {:<24} {:<9} {}\n",
            field_or(item, "name", std::string()), shown,
            field_or(item, "note", std::string()));
    }
    for (const json& item : field_or(record, "inputs", json::array()))
        fmt::print(
            "              input:  {} = {} (age {} ms)\n",
            field_or(item, "name", std::string()),
            field_or(item, "value", std::string()),
            field_or(item, "age_ms", std::int64_t{0}));
}

std::string resource_path(const std::string& kind, const std::string& name) {
    return name.empty() ? "/v1/resources/" + kind
                        : "/v1/resources/" + kind + "/" + name;
}

/// Follows a watch over cuts, from the last revision that was seen.
class watcher {
public:
    watcher(std::string kind, std::string since, bool as_json)
        : kind_(std::move(kind))
        , since_(std::move(since))
        , json_(as_json) {}

    std::string path() const {
        std::string path = kind_.empty()
                               ? "/v1/resources?watch=true"
                               : "/v1/resources/" + kind_ + "?watch=true";
        return since_.empty() ? path : path + "&since=" + since_;
    }

    bool take(std::string_view line) {
        constexpr std::string_view id = "id: ";
        constexpr std::string_view data = "data: ";
        constexpr std::string_view comment = ": revision ";
        if (line.starts_with(id))
            since_ = line.substr(id.size());
        else if (line.starts_with(comment))
            since_ = line.substr(comment.size());
        else if (line == "event: history_gone")
            history_gone_ = true;
        else if (line.starts_with(data) && !history_gone_)
            print(line.substr(data.size()));
        return !history_gone_;
    }

    bool history_gone() const noexcept { return history_gone_; }

private:
    void print(std::string_view text) const {
        if (json_) {
            fmt::print("{}\n", text);
        } else {
            const json item = base::parse_json_or_discard(text);
            fmt::print(
                "{:<8} {:<15} {:<24} {:<8} {}\n",
                field_or(item, "revision", std::uint64_t{0}),
                field_or(item, "kind", std::string()),
                field_or(item, "name", std::string()),
                field_or(item, "erased", false) ? "deleted" : "changed",
                field_or(item, "author", std::string()));
        }
        std::fflush(stdout);
    }

    std::string kind_;
    std::string since_;
    bool json_;
    bool history_gone_ = false;
};

} // namespace

exit_code print_error(const operator_answer& answer) {
    fmt::print(stderr, "{}\n", answer.error);
    const auto error = field_or(answer.body, "error", json::object());
    const auto current = field_or(error, "current", json());
    if (current.is_object())
        fmt::print(stderr, "It stands as:\n{}\n", current.dump(2));
    return answer.code;
}

exit_code
get(const common_options& common, const std::string& kind,
    const std::string& name) {
    operator_client client(common.server, common.key);
    const auto answer = client.get(resource_path(kind, name));
    if (answer.code != exit_code::ok)
        return print_error(answer);
    if (common.json || !name.empty()) {
        print_json(answer.body);
        return exit_code::ok;
    }
    print_rows(
        field_or(answer.body, "items", json::array()),
        {"KIND", "NAME", "REVISION", "SPEC"},
        {"kind", "name", "revision", "spec"});
    return exit_code::ok;
}

exit_code remove(
    const common_options& common, const std::string& kind,
    const std::string& name, const std::string& revision) {
    operator_client client(common.server, common.key);
    const auto answer = client.remove(
        resource_path(kind, name), revision.empty() ? "*" : revision);
    if (answer.code != exit_code::ok)
        return print_error(answer);
    if (common.json)
        print_json(answer.body);
    else
        fmt::print(
            "{} {} is deleted with revision {}.\n", kind, name,
            field_or(answer.body, "revision", std::uint64_t{0}));
    return exit_code::ok;
}

exit_code watch(
    const common_options& common, const std::string& kind,
    const std::string& since) {
    operator_client client(common.server, common.key);
    watcher state(kind, since, common.json);
    while (true) {
        const auto answer =
            client.stream(state.path(), [&state](std::string_view line) {
                return state.take(line);
            });
        if (state.history_gone()) {
            fmt::print(
                stderr, "Changes are missing: list the resources and watch "
                        "from the revision of the list.\n");
            return exit_code::refused;
        }
        // A cut is made good by watching on from the last revision; a refusal
        // is not.
        if (answer.code == exit_code::refused ||
            answer.code == exit_code::unreachable)
            return print_error(answer);
    }
}

exit_code why(const common_options& common, const std::string& request) {
    operator_client client(common.server, common.key);
    const auto answer = client.get("/v1/why/" + request);
    if (answer.code != exit_code::ok)
        return print_error(answer);
    if (common.json) {
        print_json(answer.body);
        return exit_code::ok;
    }
    fmt::print("Request {}\n", request);
    if (field_or(answer.body, "holder_gone", false))
        fmt::print(
            "The instance that held it is gone; this is what others know.\n");
    for (const json& record : field_or(answer.body, "decisions", json::array()))
        print_decision(record);
    return exit_code::ok;
}

exit_code status(const common_options& common) {
    operator_client client(common.server, common.key);
    const auto answer = client.get("/v1/status");
    if (answer.code != exit_code::ok)
        return print_error(answer);
    if (common.json) {
        print_json(answer.body);
        return exit_code::ok;
    }
    const json& body = answer.body;
    fmt::print(
        "Instance {}, {}; configuration revision {}\n\n",
        field_or(body, "instance", std::string()),
        field_or(body, "ready_because", std::string()),
        field_or(body, "config_revision", std::uint64_t{0}));
    print_rows(
        field_or(body, "instances", json::array()),
        {"DATA CENTRE", "INSTANCE", "STATE", "REVISION", "SILENT MS"},
        {"data_centre", "name", "state", "applied_revision", "silent_ms"});
    fmt::print("\n");
    print_rows(
        field_or(body, "engines", json::array()),
        {"ENGINE", "POOL", "DATA CENTRE", "REACHABLE", "LEAVING", "KV USED",
         "KV CAPACITY", "RUNNING", "AGE MS"},
        {"name", "pool", "data_centre", "reachable", "leaving", "kv_used",
         "kv_capacity", "running", "age_ms"});
    fmt::print("\n");
    print_rows(
        field_or(body, "parts", json::array()),
        {"PART", "STATE", "RESTARTS", "LAST ERROR"},
        {"name", "state", "restarts", "last_error"});
    return exit_code::ok;
}

exit_code
drain(const common_options& common, const std::string& server, bool undo) {
    operator_client client(common.server, common.key);
    const std::string path = resource_path("backend_server", server);
    const auto current = client.get(path);
    if (current.code != exit_code::ok)
        return print_error(current);
    json spec = field_or(current.body, "spec", json::object());
    spec["leaving"] = !undo;
    const auto revision = field_or(current.body, "revision", std::uint64_t{0});
    const auto answer = client.put(path, spec, std::to_string(revision));
    if (answer.code != exit_code::ok)
        return print_error(answer);
    fmt::print(
        "{} {} with revision {}.\n", server,
        undo ? "takes new work again" : "takes no new work",
        field_or(answer.body, "revision", std::uint64_t{0}));
    return exit_code::ok;
}

} // namespace mintknot::cli
