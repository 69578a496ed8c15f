#include "peer_answers.hpp"

#include <mintknot/base/json_parser.hpp>

#include <algorithm>

namespace mintknot::daemon {

peer_answers::peer_answers(
    control::control_loop& control, const config::change_feed& feed,
    const audit::decision_log& decisions,
    const entry::request_registry& registry,
    const control::engine_watcher& watcher, entry::caller_api& callers)
    : control_(control)
    , feed_(feed)
    , decisions_(decisions)
    , registry_(registry)
    , watcher_(watcher)
    , callers_(callers) {}

void peer_answers::place(
    const routing::place_query& query, rpc::placed_callback done) {
    control_.place(query, std::move(done));
}

void peer_answers::report(rpc::progress_batch batch) {
    control_.report(std::move(batch));
}

void peer_answers::attach(
    const rpc::attach_request& request, const rpc::attach_sink& sink) {
    callers_.attach(request, sink);
}

std::string peer_answers::explain(const std::string& request) {
    nlohmann::json records = nlohmann::json::array();
    for (const audit::decision& record : decisions_.find(request))
        records.push_back(audit::to_json(record));
    return base::to_text(records);
}

rpc::config_page peer_answers::changes_since(std::uint64_t revision) {
    rpc::config_page page;
    page.ready = feed_.ready();
    const auto changes = feed_.since(revision);
    const auto current = feed_.current();
    page.revision = current->revision();
    if (changes.complete) {
        page.changes = changes.changes;
        // A peer that starts has nothing yet, not even revision 0.
        page.whole = revision == 0 && page.changes.empty();
        return page;
    }
    page.whole = true;
    for (const config::resource_kind kind : config::all_kinds) {
        auto items = current->list(kind);
        std::move(
            items.begin(), items.end(), std::back_inserter(page.resources));
    }
    return page;
}

std::vector<std::string>
peer_answers::unknown_streams(const std::vector<std::string>& attempts) {
    std::vector<std::string> unknown;
    std::copy_if(
        attempts.begin(), attempts.end(), std::back_inserter(unknown),
        [this](const std::string& attempt) {
            return !registry_.knows_attempt(attempt);
        });
    return unknown;
}

std::optional<rpc::found_stream>
peer_answers::find_stream(const std::string& request) {
    return watcher_.find_stream(request);
}

} // namespace mintknot::daemon
