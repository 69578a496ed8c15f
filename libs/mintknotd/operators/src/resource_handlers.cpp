#include "resource_handlers.hpp"

#include <mintknot/base/json_reader.hpp>
#include <mintknot/base/random.hpp>
#include <mintknot/base/request_id.hpp>
#include <mintknot/base/status_text.hpp>

#include <fmt/format.h>
#include <httplib.h>

#include <charconv>

namespace mintknot::operators {

namespace {

using base::reason;
using base::refusal;
using base::verdict;
using nlohmann::json;

constexpr base::milliseconds watch_comment_period{1000};
constexpr base::milliseconds outage_retry{1000};
constexpr base::milliseconds read_own_write{1000};
constexpr base::milliseconds look_again{300};
const std::string json_type = "application/json";

std::optional<std::uint64_t> parse_revision(std::string_view text) {
    std::uint64_t number = 0;
    const char* last = text.data() + text.size();
    const auto [end, error] = std::from_chars(text.data(), last, number);
    if (text.empty() || error != std::errc{} || end != last)
        return std::nullopt;
    return number;
}

refusal bad_revision(std::string_view where, std::string_view found) {
    return {
        reason::bad_field,
        fmt::format(
            "{}: found '{}', allowed is a revision such as 17", where, found)};
}

/// The resource that a path names.
struct named_resource {
    config::resource_kind kind = config::resource_kind::service;
    std::string name;
};

base::outcome<named_resource> name_from(const httplib::Request& in) {
    const std::string kind = in.matches[1];
    const std::string name = in.matches[2];
    const auto parsed = config::parse_kind(kind);
    if (!parsed)
        return refusal{
            reason::not_found, fmt::format("there is no kind '{}'", kind)};
    if (!base::is_valid_name(name))
        return refusal{
            reason::bad_field,
            fmt::format(
                "name: found '{}', allowed are 1 to 63 letters, digits or '-'",
                name)};
    return named_resource{*parsed, name};
}

/// If-Match: a revision, "*" for any; without it the resource must be new.
base::outcome<std::optional<std::uint64_t>>
expected_revision(const httplib::Request& in) {
    std::string text = in.get_header_value("If-Match");
    if (text.empty())
        return std::optional<std::uint64_t>(0);
    if (text == "*")
        return std::optional<std::uint64_t>();
    if (text.size() > 2 && text.front() == '"' && text.back() == '"')
        text = text.substr(1, text.size() - 2);
    const auto revision = parse_revision(text);
    if (!revision)
        return bad_revision("If-Match", text);
    return std::optional<std::uint64_t>(revision);
}

void send_outcome(
    const operator_parts& parts, const config::change& wanted,
    const config::change_outcome& outcome, httplib::Response& out) {
    out.set_header("X-Change-Id", wanted.change_id);
    if (outcome.refused)
        return send_refusal(out, *outcome.refused, outcome.current);
    // The next change at this instance may refer to this one.
    parts.hurry_reader();
    parts.feed.wait_beyond(outcome.revision - 1, read_own_write);
    out.set_header("ETag", fmt::format("\"{}\"", outcome.revision));
    send_json(
        out, 200,
        {{"kind", config::to_string(wanted.kind)},
         {"name", wanted.name},
         {"revision", outcome.revision},
         {"change_id", wanted.change_id}});
}

/// Looks twice: a change accepted elsewhere may not be in force here yet.
std::string
broken_reference(const operator_parts& parts, const config::change& wanted) {
    const auto current = parts.feed.current();
    if (current->broken_reference(wanted).empty())
        return {};
    parts.hurry_reader();
    parts.feed.wait_beyond(current->revision(), look_again);
    return parts.feed.current()->broken_reference(wanted);
}

void write_change(
    const operator_parts& parts, const httplib::Request& in,
    config::change wanted, httplib::Response& out) {
    const auto expected = expected_revision(in);
    if (!expected)
        return send_refusal(out, expected.error());
    const std::string broken = broken_reference(parts, wanted);
    if (!broken.empty())
        return send_refusal(
            out, {wanted.erased ? reason::still_referenced : reason::bad_field,
                  broken});
    wanted.change_id = base::random_token();
    const auto outcome = parts.store.write({wanted, *expected});
    send_outcome(parts, wanted, outcome, out);
}

std::string change_event(const config::change& item) {
    return fmt::format(
        "id: {}\nevent: change\ndata: {}\n\n", item.revision,
        base::to_text(config::to_json(item)));
}

/// Sends changes of the wanted kind from a revision on, until the watcher
/// leaves, the instance stops, or the feed has lost some of them.
void send_changes(
    const config::change_feed& feed, std::optional<config::resource_kind> kind,
    std::uint64_t since, httplib::DataSink& sink) {
    while (!feed.stopped()) {
        const auto page = feed.since(since);
        std::string events;
        if (!page.complete)
            events = "event: history_gone\ndata: {}\n\n";
        for (const config::change& item : page.changes) {
            since = item.revision;
            if (!kind || item.kind == *kind)
                events += change_event(item);
        }
        if (events.empty())
            events = fmt::format(": revision {}\n\n", since);
        if (!sink.write(events.data(), events.size()) || !page.complete)
            return;
        feed.wait_beyond(since, watch_comment_period);
    }
}

void watch(
    const operator_parts& parts, std::optional<config::resource_kind> kind,
    const httplib::Request& in, httplib::Response& out) {
    // A client library that reconnects by itself names the last event.
    std::string text = in.get_header_value("Last-Event-ID");
    if (text.empty())
        text = in.get_param_value("since");
    const auto since =
        text.empty() ? parts.feed.current()->revision() : parse_revision(text);
    if (!since)
        return send_refusal(out, bad_revision("since", text));
    if (!parts.feed.since(*since).complete)
        return send_refusal(
            out, {reason::history_gone,
                  "changes after that revision are no longer kept: list the "
                  "resources and watch from the revision of the list"});
    out.set_header("Cache-Control", "no-cache");
    out.set_chunked_content_provider(
        "text/event-stream", [&feed = parts.feed, kind, since = *since](
                                 std::size_t, httplib::DataSink& sink) {
            send_changes(feed, kind, since, sink);
            sink.done();
            return true;
        });
}

} // namespace

void send_json(httplib::Response& out, int status, const json& body) {
    out.status = status;
    out.set_content(base::to_text(body), json_type);
}

void send_refusal(
    httplib::Response& out, const refusal& why,
    const std::optional<config::resource>& current) {
    json error{
        {"code", base::to_string(why.code)},
        {"message", why.sentence},
        {"verdict", base::to_string(why.run)}};
    if (current)
        error["current"] = config::to_json(*current);
    out.set_header("X-Run-Verdict", std::string(base::to_string(why.run)));
    if (base::is_transient(why.code))
        out.set_header(
            "Retry-After",
            std::to_string(
                std::chrono::ceil<std::chrono::seconds>(outage_retry).count()));
    send_json(out, base::http_status(why.code), {{"error", error}});
}

void list_resources(
    const operator_parts& parts, const httplib::Request& in,
    httplib::Response& out) {
    const std::string text = in.matches.size() > 1 ? in.matches[1].str() : "";
    const auto kind = config::parse_kind(text);
    if (!text.empty() && !kind)
        return send_refusal(
            out,
            {reason::not_found, fmt::format("there is no kind '{}'", text)});
    if (in.get_param_value("watch") == "true")
        return watch(parts, kind, in, out);
    const auto current = parts.feed.current();
    json items = json::array();
    for (const config::resource_kind one : config::all_kinds) {
        if (kind && *kind != one)
            continue;
        for (const config::resource& item : current->list(one))
            items.push_back(config::to_json(item));
    }
    send_json(out, 200, {{"revision", current->revision()}, {"items", items}});
}

void get_resource(
    const operator_parts& parts, const httplib::Request& in,
    httplib::Response& out) {
    const auto named = name_from(in);
    if (!named)
        return send_refusal(out, named.error());
    const auto item = parts.feed.current()->get(named->kind, named->name);
    if (item.revision == 0)
        return send_refusal(
            out, {reason::not_found,
                  fmt::format(
                      "there is no {} '{}'", config::to_string(named->kind),
                      named->name)});
    out.set_header("ETag", fmt::format("\"{}\"", item.revision));
    send_json(out, 200, config::to_json(item));
}

void put_resource(
    const operator_parts& parts, const std::string& author,
    const httplib::Request& in, httplib::Response& out) {
    const auto named = name_from(in);
    if (!named)
        return send_refusal(out, named.error());
    const auto document = base::parse_json(in.body);
    if (!document.ok())
        return send_refusal(
            out, {reason::bad_json, base::text_of(document.status())});
    const bool whole = document->is_object() && document->contains("spec");
    const json spec = whole ? document->at("spec") : *document;
    const auto checked = config::check_spec(named->kind, spec);
    if (!checked.ok())
        return send_refusal(out, {reason::bad_field, base::text_of(checked)});
    config::change wanted;
    wanted.author = author;
    wanted.kind = named->kind;
    wanted.name = named->name;
    wanted.spec = spec;
    write_change(parts, in, std::move(wanted), out);
}

void delete_resource(
    const operator_parts& parts, const std::string& author,
    const httplib::Request& in, httplib::Response& out) {
    const auto named = name_from(in);
    if (!named)
        return send_refusal(out, named.error());
    if (in.get_header_value("If-Match").empty())
        return send_refusal(
            out, {reason::bad_field,
                  "If-Match: found nothing, allowed is the revision to delete, "
                  "or *"});
    config::change wanted;
    wanted.author = author;
    wanted.kind = named->kind;
    wanted.name = named->name;
    wanted.erased = true;
    write_change(parts, in, std::move(wanted), out);
}

void get_change(
    const operator_parts& parts, const httplib::Request& in,
    httplib::Response& out) {
    const auto found = parts.store.find_change(in.matches[1]);
    if (absl::IsNotFound(found.status()))
        return send_refusal(
            out,
            {reason::not_found, "no change with that ID was accepted so far"});
    if (!found.ok())
        return send_refusal(
            out, {reason::platform_unreachable, base::text_of(found.status())});
    send_json(out, 200, config::to_json(*found));
}

} // namespace mintknot::operators
