#include <mintknot/state/replica.hpp>

#include <mintknot/base/json_reader.hpp>

#include <nlohmann/json.hpp>

#include <algorithm>
#include <set>

namespace mintknot::state {

namespace {

/// Removed documents that are remembered, so that late news of them is known
/// to be old.
constexpr std::size_t most_removed = 4096;

nlohmann::json to_json(const document& value) {
    nlohmann::json row = {{"key", value.key}, {"version", value.version}};
    if (value.text)
        row["text"] = *value.text;
    return row;
}

std::optional<document> document_from(const nlohmann::json& row) {
    document value;
    value.key = base::field_or<std::string>(row, "key", {});
    value.version = base::field_or<std::uint64_t>(row, "version", 0);
    if (value.key.empty() || value.version == 0)
        return std::nullopt;
    if (row.contains("text")) {
        if (!row["text"].is_string())
            return std::nullopt;
        value.text = row["text"].get<std::string>();
    }
    return value;
}

std::optional<std::vector<document>>
documents_from(const nlohmann::json& rows) {
    std::vector<document> result;
    if (!rows.is_array())
        return std::nullopt;
    for (const nlohmann::json& row : rows) {
        std::optional<document> value = document_from(row);
        if (!value)
            return std::nullopt;
        result.push_back(std::move(*value));
    }
    return result;
}

} // namespace

std::string_view to_string(collection value) noexcept {
    switch (value) {
    case collection::configuration:
        return "configuration";
    case collection::servers:
        return "servers";
    case collection::leases:
        return "leases";
    }
    return "unknown";
}

std::string_view to_string(store_result value) noexcept {
    switch (value) {
    case store_result::ok:
        return "ok";
    case store_result::history_gone:
        return "history_gone";
    case store_result::conflict:
        return "conflict";
    case store_result::refused:
        return "refused";
    case store_result::unreachable:
        return "unreachable";
    }
    return "unknown";
}

replica::replica(
    const document_codec& codec, logging::line_log& log,
    replica_handlers handlers)
    : codec_(codec)
    , log_(log)
    , handlers_(std::move(handlers)) {}

replica::documents& replica::of(collection what) {
    return what == collection::configuration ? configuration_ : servers_;
}

const replica::documents& replica::of(collection what) const {
    return what == collection::configuration ? configuration_ : servers_;
}

std::uint64_t replica::version(collection what) const noexcept {
    return of(what).newest;
}

bool replica::known(collection what) const noexcept {
    return of(what).known;
}

void replica::apply(
    collection what, const std::vector<document>& changes,
    std::string_view source) {
    for (const document& change : changes)
        take(what, change, source);
}

void replica::apply_whole(
    collection what, const std::vector<document>& all, std::uint64_t version,
    std::string_view source) {
    std::set<std::string> present;
    for (const document& entry : all)
        present.insert(entry.key);
    std::vector<document> changes = all;
    for (const auto& [key, known] : of(what).by_key)
        if (known.text && !present.contains(key))
            changes.push_back({key, version, std::nullopt});
    apply(what, changes, source);
    of(what).known = true;
}

void replica::take(
    collection what, const document& change, std::string_view source) {
    documents& all = of(what);
    const auto found = all.by_key.find(change.key);
    if (found != all.by_key.end() && found->second.version >= change.version)
        return;
    const bool same_text =
        found != all.by_key.end() && found->second.text == change.text;
    if (!same_text && !decode(what, change, source))
        return;
    all.by_key[change.key] = change;
    all.newest = std::max(all.newest, change.version);
    if (all.by_key.size() > most_removed)
        std::erase_if(all.by_key, [&all](const auto& item) {
            return !item.second.text && item.second.version != all.newest;
        });
}

bool replica::decode(
    collection what, const document& change, std::string_view source) {
    const auto reject = [&](const absl::Status& status) {
        log_.write(
            "document_rejected",
            {{"collection", to_string(what)},
             {"key", change.key},
             {"version", static_cast<std::int64_t>(change.version)},
             {"source", source},
             {"because",
              std::string_view(
                  status.message().data(), status.message().size())}});
        return false;
    };
    if (what == collection::configuration) {
        if (!change.text)
            return false;
        auto config = codec_.read_configuration(*change.text);
        if (!config.ok())
            return reject(config.status());
        log_.write(
            "configuration",
            {{"version", static_cast<std::int64_t>(config->version)},
             {"row", static_cast<std::int64_t>(change.version)},
             {"routes", static_cast<std::int64_t>(config->routes.size())},
             {"source", source}});
        handlers_.on_configuration(
            std::make_shared<const traffic::catalogue>(*std::move(config)));
        return true;
    }
    if (!change.text) {
        log_.write(
            "server_gone", {{"server", change.key},
                            {"row", static_cast<std::int64_t>(change.version)},
                            {"source", source}});
        handlers_.on_server(change.key, change.version, std::nullopt);
        return true;
    }
    auto server = codec_.read_server(change.key, *change.text);
    if (!server.ok())
        return reject(server.status());
    log_.write(
        "server", {{"server", change.key},
                   {"service", server->service},
                   {"data_centre", server->data_centre},
                   {"phase", traffic::to_string(server->phase)},
                   {"draining", server->draining},
                   {"row", static_cast<std::int64_t>(change.version)},
                   {"source", source}});
    handlers_.on_server(change.key, change.version, *std::move(server));
    return true;
}

std::string replica::snapshot() const {
    nlohmann::json result;
    for (collection what : {collection::configuration, collection::servers}) {
        nlohmann::json rows = nlohmann::json::array();
        for (const auto& [key, entry] : of(what).by_key)
            rows.push_back(to_json(entry));
        result[std::string(to_string(what))] = {
            {"known", of(what).known}, {"documents", std::move(rows)}};
    }
    return result.dump(
        -1, ' ', false, nlohmann::json::error_handler_t::replace);
}

absl::Status
replica::apply_snapshot(std::string_view text, std::string_view source) {
    const auto parsed = base::parse_json(text);
    if (!parsed.ok())
        return parsed.status();
    for (collection what : {collection::configuration, collection::servers}) {
        const std::string name(to_string(what));
        if (!parsed->is_object() || !parsed->contains(name))
            return absl::InvalidArgumentError("a collection is missing");
        const nlohmann::json& part = (*parsed)[name];
        const auto rows = part.is_object() && part.contains("documents")
                              ? documents_from(part["documents"])
                              : std::nullopt;
        if (!rows)
            return absl::InvalidArgumentError("a document is malformed");
        apply(what, *rows, source);
        if (base::field_or<bool>(part, "known", false))
            of(what).known = true;
    }
    return absl::OkStatus();
}

} // namespace mintknot::state
