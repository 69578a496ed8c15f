#include <mintknot/state/replica.hpp>

#include "document_json.hpp"

#include <mintknot/base/json_reader.hpp>
#include <mintknot/state/store_version.hpp>

#include <algorithm>
#include <set>

namespace mintknot::state {

namespace {

/// Removed documents that are remembered, so that late news of them is known
/// to be old and followers who lag are told of them. Those that are there do
/// not count: with all documents counted, a fleet of 10,000 servers remembered
/// no removal at all, each one made all followers read everything again, and
/// each row beyond the first 4,096 looked at all others (44 million of them).
constexpr std::size_t max_removed = 4096;

/// Rows of servers are logged one by one up to so many at a time: at a start
/// with 266 servers each of 295 instances wrote a line for each.
constexpr std::size_t max_lines_at_once = 16;

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

const replica::documents&
replica::of(collection what, document_kind kind) const {
    return kind == document_kind::closure ? closures_ : of(what);
}

replica::documents& replica::of(collection what, document_kind kind) {
    return kind == document_kind::closure ? closures_ : of(what);
}

std::uint64_t replica::version(collection what) const noexcept {
    return of(what).newest;
}

bool replica::known(collection what) const noexcept {
    return of(what).known;
}

bool replica::lacks_history(collection what) const noexcept {
    return of(what).lacks_history;
}

bool replica::lacks_history() const noexcept {
    return servers_.lacks_history || configuration_.lacks_history;
}

void replica::accept_any_history() noexcept {
    accepts_any_history_ = true;
}

bool replica::is_current(collection what) const noexcept {
    return of(what).rejected <= of(what).newest;
}

void replica::apply(
    collection what, const std::vector<document>& changes,
    std::string_view source) {
    one_by_one_ = changes.size() <= max_lines_at_once;
    for (const document& change : changes)
        take(what, change, source);
    if (!one_by_one_)
        log_.write(
            "documents", {{"collection", to_string(what)},
                          {"count", static_cast<std::int64_t>(changes.size())},
                          {"newest", static_cast<std::int64_t>(version(what))},
                          {"source", source}});
}

bool replica::apply_whole(
    collection what, const std::vector<document>& all, std::uint64_t version,
    std::string_view source) {
    documents& docs = of(what);
    const bool restored = docs.known && era_of(version) > docs.era;
    docs.era = std::max(docs.era, era_of(version));
    docs.restored_up_to = restored ? version : 0;
    if (what == collection::configuration)
        closures_.restored_up_to = docs.restored_up_to;
    if (restored) {
        apply(what, all, source);
        return true;
    }
    std::vector<document> changes = all;
    if (!docs.known && docs.era > 0) {
        docs.lacks_history = true;
        docs.first_read = version;
    }
    add_removed(of(what), all, document_kind::content, version, changes);
    if (what == collection::configuration)
        add_removed(closures_, all, document_kind::closure, version, changes);
    apply(what, changes, source);
    of(what).known = true;
    return false;
}

/// Adds what is known but not among all documents of a kind.
void replica::add_removed(
    const documents& known, const std::vector<document>& all,
    document_kind kind, std::uint64_t version,
    std::vector<document>& changes) const {
    std::set<std::string> present;
    for (const document& entry : all)
        if (entry.kind == kind)
            present.insert(entry.key);
    for (const auto& [key, entry] : known.by_key)
        if (entry.text && !present.contains(key))
            changes.push_back({key, version, std::nullopt, kind});
}

void replica::take_closure(const document& change) {
    const auto found = closures_.by_key.find(change.key);
    if (found != closures_.by_key.end() &&
        found->second.version >= change.version)
        return;
    if (reverts_removal(closures_, change))
        return;
    const bool was_closed =
        found != closures_.by_key.end() && found->second.text;
    const bool closed = change.text.has_value();
    remember(closures_, change);
    if (closed == was_closed)
        return;
    log_.write(
        closed ? "data_centre_closed" : "data_centre_opened",
        {{"data_centre", change.key},
         {"row", static_cast<std::int64_t>(change.version)}});
    if (handlers_.on_closure)
        handlers_.on_closure(change.key, closed);
}

void replica::take(
    collection what, const document& change, std::string_view source) {
    if (change.kind == document_kind::closure) {
        take_closure(change);
        return;
    }
    documents& all = of(what);
    const auto found = all.by_key.find(change.key);
    if (found != all.by_key.end() && found->second.version >= change.version) {
        take_history(what, found->second, change, source);
        return;
    }
    if (reverts_removal(all, change))
        return;
    const bool same_text =
        found != all.by_key.end() && found->second.text == change.text;
    document taken = change;
    const decode_result result =
        same_text ? decode_result::taken : decode(what, change, source);
    if (result == decode_result::rejected &&
        what == collection::configuration) {
        all.rejected = std::max(all.rejected, change.version);
        return;
    }
    // Peers must receive the content in force, not the restored one.
    if (result == decode_result::superseded)
        taken.text = found->second.text;
    if (result == decode_result::rejected) {
        // It names no server, and takes the place of a row that did.
        taken.text.reset();
        handlers_.on_server(change.key, change.version, std::nullopt);
    }
    remember(all, std::move(taken));
    if (all.removed > max_removed)
        forget_removed(all);
}

void replica::take_history(
    collection what, document& known, const document& of_peer,
    std::string_view source) {
    if (!is_comparable_history(of(what), known, of_peer))
        return;
    if (what == collection::configuration) {
        const auto config = codec_.read_configuration(*of_peer.text);
        if (!config.ok() || config->version <= configuration_version_)
            return;
        known.text = of_peer.text;
        decode_configuration(known, source);
    } else if (keeps_draining(known, of_peer)) {
        known.text = of_peer.text;
        if (handlers_.on_draining)
            handlers_.on_draining(of_peer.key);
    }
}

bool replica::reverts_removal(const documents& all, const document& change) {
    const auto found = all.by_key.find(change.key);
    return found != all.by_key.end() && !found->second.text && change.text &&
           change.version <= all.restored_up_to;
}

void replica::remember(documents& all, document taken) {
    all.newest = std::max(all.newest, taken.version);
    document& entry = all.by_key[taken.key];
    const bool was_removed = entry.version != 0 && !entry.text;
    if (was_removed)
        --all.removed;
    if (!taken.text)
        ++all.removed;
    entry = std::move(taken);
}

void replica::forget_removed(documents& all) {
    swept_ += all.by_key.size();
    all.removed -= std::erase_if(all.by_key, [&all](const auto& item) {
        const document& entry = item.second;
        if (entry.text || entry.version == all.newest)
            return false;
        all.forgotten = std::max(all.forgotten, entry.version);
        return true;
    });
}

std::optional<std::vector<document>> replica::changes(
    collection what, std::uint64_t after, std::uint64_t up_to) const {
    const documents& all = of(what);
    if (!all.known || after < all.forgotten)
        return std::nullopt;
    std::vector<document> result;
    const auto add_changed = [&](const documents& some) {
        if (after >= some.newest)
            return;
        for (const auto& [key, entry] : some.by_key)
            if (entry.version > after && entry.version <= up_to)
                result.push_back(entry);
    };
    add_changed(all);
    if (what == collection::configuration)
        add_changed(closures_);
    return result;
}

void replica::tell_servers_again() {
    one_by_one_ = false;
    for (const auto& [key, entry] : servers_.by_key)
        if (entry.text)
            decode_server(entry, "replica");
}

} // namespace mintknot::state
