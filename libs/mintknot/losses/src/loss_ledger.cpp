#include <mintknot/losses/loss_ledger.hpp>

#include <mintknot/base/json_parser.hpp>

#include "finished_line.hpp"
#include "log_line.hpp"

#include <algorithm>

namespace mintknot::losses {

namespace {

using log_line::flag;
using log_line::json;
using log_line::text;
using log_line::whole;

/// A refusal within this time counts as given at once: one turn of the event
/// loop under load.
constexpr std::int64_t at_once_ms = 5;
constexpr std::size_t shown_of_foreign_line = 80;

std::int64_t window_of(const loss_ledger& ledger, std::int64_t at) {
    return at / std::max<std::int64_t>(1, ledger.options.window.count());
}

std::string
data_centre_of(const loss_ledger& ledger, const std::string& instance) {
    const auto found = ledger.data_centres.find(instance);
    return found == ledger.data_centres.end() ? "unknown" : found->second;
}

void count(loss_ledger& ledger, const open_request& request, loss_cause cause) {
    ++ledger.requests[{
        request.route, data_centre_of(ledger, request.instance),
        window_of(ledger, request.at), cause}];
}

/// Of a request that was answered after its target.
loss_cause cause_of_lateness(const json& line, const open_request& request) {
    if (request.reads > 1)
        return loss_cause::late_by_second_read;
    if (whole(line, "waited_ms") * 2 > whole(line, "first_byte_ms"))
        return loss_cause::late_by_waiting;
    return loss_cause::late_at_server;
}

loss_cause cause_of(const json& line, const open_request& request) {
    const std::string outcome = text(line, "outcome");
    if (outcome != "answered")
        return cause_of_outcome(outcome);
    const std::int64_t target = whole(line, "target_ms");
    if (target <= 0 || whole(line, "first_byte_ms") <= target)
        return loss_cause::none;
    return cause_of_lateness(line, request);
}

void note_first_try(
    first_try_account& account, const json& line, loss_cause cause) {
    ++account.first_tries;
    const std::int64_t waited = whole(line, "waited_ms");
    if (cause == loss_cause::none) {
        ++account.in_target;
    } else if (is_late(cause)) {
        ++account.late;
    } else if (whole(line, "sends") > 0) {
        ++account.failed;
    } else if (waited <= at_once_ms) {
        ++account.refused_at_once;
    } else {
        ++account.held_and_refused;
        account.held += base::milliseconds(waited);
    }
}

void count_try(first_try_account& account, const json& line, loss_cause cause) {
    if (!flag(line, "returned")) {
        note_first_try(account, line, cause);
        return;
    }
    ++account.returned;
    if (cause != loss_cause::none && !is_late(cause))
        ++account.returned_in_vain;
}

/// Of all reads of a request's prompt, one has served it if it was answered.
void note_reads(
    loss_ledger& ledger, const open_request& request, bool answered) {
    const int in_vain = request.reads - (answered ? 1 : 0);
    if (in_vain <= 0 || request.prompt_tokens <= 0.0)
        return;
    const std::string reason =
        request.last_failure.empty() ? "not_answered" : request.last_failure;
    ledger.tokens_read_again[reason] += in_vain * request.prompt_tokens;
}

void end_request(
    loss_ledger& ledger, const open_request& request, loss_cause cause) {
    count(ledger, request, cause);
    note_reads(ledger, request, cause == loss_cause::none || is_late(cause));
}

/// The instance ended before the request: its caller got no answer.
void lose_request(loss_ledger& ledger, const open_request& request) {
    end_request(ledger, request, loss_cause::lost_with_instance);
    caller_try lost;
    lost.route = request.route;
    lost.priority = unknown_name;
    lost.organisation = unknown_name;
    lost.instance = request.instance;
    note_try(ledger.callers, lost);
}

void forget_oldest(loss_ledger& ledger) {
    while (ledger.open.size() > ledger.options.most_open) {
        const auto oldest = ledger.open.find(ledger.open_order.front());
        ledger.open_order.pop_front();
        if (oldest == ledger.open.end())
            continue;
        lose_request(ledger, oldest->second);
        ledger.open.erase(oldest);
    }
    // Names of requests that have ended are dropped once they are the most.
    if (ledger.open_order.size() > 2 * ledger.options.most_open)
        std::erase_if(ledger.open_order, [&](const std::string& id) {
            return !ledger.open.contains(id);
        });
}

open_request&
request_of(loss_ledger& ledger, const json& line, const std::string& id) {
    const auto [entry, fresh] = ledger.open.try_emplace(id);
    open_request& request = entry->second;
    if (fresh) {
        request.instance = text(line, "instance");
        request.at = whole(line, "at");
        ledger.open_order.push_back(id);
    }
    if (request.route.empty())
        request.route = text(line, "route");
    return request;
}

void take_finished(
    loss_ledger& ledger, const json& line, const std::string& id) {
    const open_request request = request_of(ledger, line, id);
    const loss_cause cause = cause_of(line, request);
    end_request(ledger, request, cause);
    count_try(ledger.first_tries[request.route], line, cause);
    note_try(ledger.callers, caller_try_of(line, request));
    ledger.open.erase(id);
}

void take_given_up(loss_ledger& ledger, const json& line) {
    const loss_cause cause = cause_of_outcome(text(line, "reason"));
    if (concerns_organisation(cause))
        ++ledger.by_organisation[text(line, "organisation")][cause];
}

void take_refused(loss_ledger& ledger, const json& line) {
    // What no route is for is not served anywhere; that is no loss.
    const std::string reason = text(line, "reason");
    if (reason == "no_route")
        return;
    const loss_cause cause = cause_of_outcome(reason);
    open_request request;
    request.route = "(none)";
    request.instance = text(line, "instance");
    request.at = whole(line, "at");
    count(
        ledger, request,
        concerns_organisation(cause) ? cause : loss_cause::refused_at_the_door);
}

void take_send(
    loss_ledger& ledger, const json& line, const std::string& event,
    const std::string& id) {
    open_request& request = request_of(ledger, line, id);
    if (event == "prefill") {
        ++request.reads;
        request.prompt_tokens = static_cast<double>(whole(line, "tokens"));
    } else if (event == "decode" && !flag(line, "with_result")) {
        ++request.reads;
    }
}

/// A line on a request may follow its end: it must not open it again.
void take_failure(
    loss_ledger& ledger, const json& line, const std::string& event,
    const std::string& id) {
    const auto found = ledger.open.find(id);
    if (found == ledger.open.end())
        return;
    if (event == "decode_rejected")
        found->second.last_failure = event;
    else if (event == "prefill_again" || event == "resumed")
        found->second.last_failure = text(line, "reason");
}

/// Instances write the total since their start, not what is new.
void note_left_out(loss_ledger& ledger, const json& line) {
    std::int64_t& known = ledger.left_out[text(line, "instance")];
    if (text(line, "event") == "started")
        known = 0;
    const std::int64_t total = whole(line, "left_out");
    ledger.lines.left_out += std::max<std::int64_t>(0, total - known);
    known = std::max(known, total);
}

void take_event(loss_ledger& ledger, const json& line) {
    const std::string event = text(line, "event");
    const std::string id = text(line, "request");
    if (event == "started")
        ledger.data_centres[text(line, "instance")] = text(line, "data_centre");
    else if (event == "refused")
        take_refused(ledger, line);
    else if (id.empty())
        return;
    else if (event == "given_up")
        take_given_up(ledger, line);
    else if (event == "finished")
        take_finished(ledger, line, id);
    else if (event == "prefill" || event == "decode" || event == "sent")
        take_send(ledger, line, event, id);
    else
        take_failure(ledger, line, event, id);
}

} // namespace

void take_line(loss_ledger& ledger, std::string_view line) {
    if (line.find_first_not_of(" \t\r") == std::string_view::npos)
        return;
    const std::size_t brace = line.find('{');
    const json parsed = brace == std::string_view::npos
                            ? json()
                            : base::parse_json_or_discard(line.substr(brace));
    if (!parsed.is_object() || text(parsed, "event").empty() ||
        text(parsed, "instance").empty()) {
        ++ledger.lines.foreign;
        if (ledger.lines.first_foreign.empty())
            ledger.lines.first_foreign = line.substr(0, shown_of_foreign_line);
        return;
    }
    ++ledger.lines.read;
    note_left_out(ledger, parsed);
    take_event(ledger, parsed);
    forget_oldest(ledger);
}

void close_account(loss_ledger& ledger) {
    for (const auto& [id, request] : ledger.open)
        lose_request(ledger, request);
    ledger.open.clear();
    ledger.open_order.clear();
    link_tries(ledger.callers);
}

} // namespace mintknot::losses
