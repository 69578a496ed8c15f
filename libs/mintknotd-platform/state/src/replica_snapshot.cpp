/// @file
/// The part of a replica that is told to a peer whole, and taken from one.

#include <mintknot/state/replica.hpp>

#include "document_json.hpp"

#include <mintknot/base/json_reader.hpp>
#include <mintknot/state/store_version.hpp>

#include <optional>
#include <utility>

namespace mintknot::state {

namespace {

/// One collection of a peer's snapshot.
struct snapshot_part {
    collection what = collection::configuration;
    std::vector<document> documents;
    bool known = false;
    bool lacks_history = false;
};

/// Whether the sender has started since the latest restore and has not heard
/// what the store held before it; older instances do not tell.
constexpr const char* lacks_history_field = "lacks_history";

std::optional<snapshot_part>
snapshot_part_from(collection what, const nlohmann::json& part) {
    if (!part.is_object() || !part.contains("documents"))
        return std::nullopt;
    auto documents = documents_from(part["documents"]);
    if (!documents)
        return std::nullopt;
    return snapshot_part{
        what, std::move(*documents), base::field_or<bool>(part, "known", false),
        base::field_or<bool>(part, lacks_history_field, false)};
}

std::optional<std::vector<document>>
closures_of_snapshot(const nlohmann::json& snapshot) {
    if (!snapshot.contains(closures_field))
        return std::vector<document>{};
    const nlohmann::json& part = snapshot[closures_field];
    if (!part.is_object() || !part.contains("documents"))
        return std::nullopt;
    return closures_from(part["documents"]);
}

} // namespace

std::string replica::snapshot(const std::vector<collection>& parts) const {
    nlohmann::json result = nlohmann::json::object();
    for (const collection what : parts) {
        nlohmann::json rows = nlohmann::json::array();
        for (const auto& [key, entry] : of(what).by_key)
            rows.push_back(to_json(entry));
        nlohmann::json& part = result[std::string(to_string(what))];
        part = {{"known", of(what).known}, {"documents", std::move(rows)}};
        // An instance that was there at the latest restore knows what it lost.
        const documents& docs = of(what);
        if (docs.lacks_history && era_of(docs.first_read) == docs.era)
            part[lacks_history_field] = true;
    }
    nlohmann::json closures = nlohmann::json::array();
    for (const auto& [key, entry] : closures_.by_key)
        closures.push_back(to_json(entry));
    if (!closures.empty())
        result[closures_field] = {{"documents", std::move(closures)}};
    return base::to_text(result);
}

absl::Status
replica::apply_snapshot(std::string_view text, std::string_view source) {
    const auto parsed = base::parse_json(text);
    if (!parsed.ok())
        return parsed.status();
    std::vector<snapshot_part> parts;
    for (collection what : {collection::configuration, collection::servers}) {
        const std::string name(to_string(what));
        if (!parsed->is_object() || !parsed->contains(name))
            continue;
        auto part = snapshot_part_from(what, (*parsed)[name]);
        if (!part)
            return absl::InvalidArgumentError("a document is malformed");
        parts.push_back(std::move(*part));
    }
    if (parts.empty())
        return absl::InvalidArgumentError("there is no collection");
    const auto closures = closures_of_snapshot(*parsed);
    if (!closures)
        return absl::InvalidArgumentError("a closure is malformed");
    for (const document& closure : *closures)
        take_closure(closure);
    for (const snapshot_part& part : parts) {
        apply(part.what, part.documents, source);
        documents& docs = of(part.what);
        // A snapshot of a peer replaces the first full read: a later read of
        // the same era must not count as a restore.
        if (part.known && !docs.known)
            docs.era = era_of(docs.newest);
        docs.known |= part.known;
        if (part.known && (!part.lacks_history || accepts_any_history_))
            docs.lacks_history = false;
    }
    return absl::OkStatus();
}

} // namespace mintknot::state
