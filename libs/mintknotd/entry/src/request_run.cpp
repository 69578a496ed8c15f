#include "request_run.hpp"

#include <fmt/format.h>

#include <algorithm>

namespace mintknot::entry {

namespace {

using audit::decision_kind;
using base::reason;
using base::refusal;
using base::verdict;
using routing::progress_phase;

/// A prefill that takes longer than this many first-token targets has stalled.
constexpr int most_targets = 4;
constexpr base::milliseconds shortest_prefill_timeout{2000};
/// A kept result must last for the start of another transfer.
constexpr base::milliseconds least_time_for_transfer{200};

bool is_rejected(const refusal& why) {
    return why.run == verdict::not_run;
}

} // namespace

request_run::request_run(request_runner& runner, live_request& request)
    : runner_(runner)
    , parts_(runner.parts_)
    , request_(request)
    , call_(request.call()) {}

void request_run::run() {
    std::optional<refusal> failure = may_start();
    while (!failure) {
        const placed where = parts_.place(next_query());
        for (const std::string& record : where.records)
            parts_.decisions.record(audit::decision_from_json(record));
        failure = where.request.refused;
        if (failure && may_ask_again(*failure)) {
            failure = may_start();
            continue;
        }
        if (failure)
            break;
        failure = attempt(where);
        if (!failure)
            return;
        if (may_retry(*failure))
            failure = may_start();
    }
    give_up_prefill(failure->code, "the request has ended");
    request_.fail(*failure);
}

/// Eases what stood in the way of a placement. @return false if nothing did.
bool request_run::may_ask_again(const refusal& why) {
    const bool none_fits =
        why.code == reason::no_engine || why.code == reason::no_capacity;
    if (none_fits && kept_) {
        // The kept result binds the request to engines that cannot take it.
        give_up_prefill(why.code, "no decode engine can take it");
        return true;
    }
    if (why.code != reason::no_engine || excluded_.empty())
        return false;
    // Rather an engine that failed once than none at all.
    excluded_.clear();
    return true;
}

std::optional<refusal> request_run::may_start() const {
    const reason cancelled = request_.cancelled();
    if (cancelled != reason::none)
        return refusal{cancelled, "the request was cancelled"};
    if (left().count() == 0)
        return refusal{
            reason::deadline_passed, "the deadline passed before the end"};
    return std::nullopt;
}

base::milliseconds request_run::left() const {
    return base::time_left(call_.deadline, base::steady_clock::now());
}

routing::place_query request_run::next_query() {
    ++number_;
    attempt_ = fmt::format("{}.{}", request_.id(), number_);
    offset_ = request_.tokens();
    prompt_ = call_.prompt + request_.text();
    imported_ = false;
    request_.begin_attempt(attempt_);

    const auto now = base::steady_clock::now();
    if (kept_ && kept_->gone_at < now + least_time_for_transfer)
        give_up_prefill(reason::transfer_failed, "its time is nearly over");
    routing::place_query query;
    query.request = request_.id();
    query.attempt = attempt_;
    query.service = call_.service;
    query.request_class = call_.class_name;
    query.organisation = call_.organisation;
    query.prompt_tokens = base::count_tokens(prompt_);
    query.max_tokens = call_.max_tokens - offset_;
    query.prefix = base::sparse_prefix(base::block_hashes(prompt_));
    query.excluded = excluded_;
    query.time_left = left();
    if (kept_)
        query.prefilled_on = kept_->engine;
    return query;
}

std::optional<refusal> request_run::attempt(const placed& where) {
    if (kept_) {
        note(
            decision_kind::reuse, reason::none,
            "the kept prefill result goes to another decode engine",
            where.request.decode_name);
    } else if (auto failure = prefill(where)) {
        return failure;
    }
    return decode(where);
}

std::optional<refusal> request_run::prefill(const placed& where) {
    request_.enter(request_phase::prefilling, verdict::not_run);
    report(where, progress_phase::prefilling);
    const auto timeout = std::min(
        left(), std::max(
                    shortest_prefill_timeout,
                    most_targets * call_.request_class.first_token));
    const engine::order_header order = header('p');
    const auto canceller = request_.next_canceller();
    const auto result = parts_.engines.prefill(
        where.request.prefill_at, {order, prompt_}, timeout, *canceller);
    if (result) {
        request_.enter(request_phase::transferring, verdict::may_have_run);
        kept_ = kept_prefill{
            where.request.prefill_name, where.request.prefill_at, order.attempt,
            *result, base::steady_clock::now() + result->kept_for};
        report(where, progress_phase::prefilled, result->cached_tokens);
        if (result->cached_tokens > 0)
            note(
                decision_kind::reuse, reason::none,
                fmt::format(
                    "{} of {} prompt tokens came from the prefix cache",
                    result->cached_tokens, result->prompt_tokens),
                where.request.prefill_name);
        return std::nullopt;
    }
    refusal why = result.error();
    request_.enter(request_phase::prefilling, why.run);
    if (!is_rejected(why))
        parts_.cancels.add(
            {where.request.prefill_name, where.request.prefill_at,
             order.attempt});
    // A cancel by the caller is no fault of the engine.
    const bool cancelled = request_.cancelled() != reason::none;
    report(
        where,
        cancelled ? progress_phase::finished : progress_phase::prefill_failed);
    excluded_.push_back(where.request.prefill_name);
    return why;
}

std::optional<refusal> request_run::decode(const placed& where) {
    engine::decode_order order;
    order.header = header('d');
    order.source = kept_->where;
    order.handle = kept_->result.handle;
    order.prompt_tokens = kept_->result.prompt_tokens;
    order.max_tokens = call_.max_tokens - offset_;
    order.offset = offset_;
    const auto canceller = request_.next_canceller();
    const auto end = parts_.engines.decode(
        where.request.decode_at, order,
        std::min(left(), runner_.options_.idle_timeout),
        [&](const engine::decode_event& event) {
            return on_event(where, event);
        },
        *canceller);
    if (end) {
        kept_.reset();
        request_.complete(attempt_, end->finish);
        report(where, progress_phase::finished);
        return std::nullopt;
    }
    refusal why = end.error();
    request_.enter(request_phase::decoding, why.run);
    cancel_decode(where, why);
    if (imported_)
        kept_.reset(); // The engine freed it with the export.
    return why;
}

bool request_run::on_event(
    const placed& where, const engine::decode_event& event) {
    switch (event.what) {
    case engine::decode_event::kind::imported:
        imported_ = true;
        request_.enter(request_phase::decoding, verdict::may_have_run);
        report(where, progress_phase::decoding);
        break;
    case engine::decode_event::kind::token:
        request_.accept_token(attempt_, event.offset, event.text);
        break;
    default:
        break;
    }
    return request_.cancelled() == reason::none && left().count() > 0;
}

void request_run::cancel_decode(const placed& where, const refusal& why) {
    if (!is_rejected(why)) {
        parts_.cancels.add(
            {where.request.decode_name, where.request.decode_at,
             attempt_ + "d"});
        note(
            decision_kind::cancel, why.code,
            "cancel of the decode is queued until the engine confirms it",
            where.request.decode_name);
    }
    const bool own_wish =
        request_.cancelled() != reason::none || left().count() == 0;
    report(
        where,
        own_wish ? progress_phase::finished : progress_phase::decode_failed);
    excluded_.push_back(where.request.decode_name);
}

bool request_run::may_retry(const refusal& why) {
    if (may_start())
        return true; // The loop ends with the better reason.
    if (!runner_.spend_retry(call_)) {
        note(
            decision_kind::refusal, reason::retry_budget_empty,
            fmt::format(
                "no retry after {}: the class has used up its retries",
                base::to_string(why.code)));
        return false;
    }
    parts_.metrics.add_retry(call_.class_name, why.code);
    note(
        decision_kind::retry, why.code,
        fmt::format(
            "{}; goes on at token {}", why.sentence, request_.tokens()));
    return true;
}

void request_run::give_up_prefill(reason why, const std::string& sentence) {
    if (!kept_)
        return;
    parts_.cancels.add({kept_->engine, kept_->where, kept_->attempt});
    note(
        decision_kind::give_up, why,
        fmt::format(
            "the prefill result of {} tokens is given up: {}",
            kept_->result.prompt_tokens - kept_->result.cached_tokens,
            sentence),
        kept_->engine);
    kept_.reset();
}

void request_run::report(
    const placed& where, progress_phase phase, std::uint64_t cached_tokens) {
    if (where.scheduler)
        parts_.report(*where.scheduler, {attempt_, phase, cached_tokens});
}

void request_run::note(
    decision_kind kind, reason code, std::string sentence, std::string choice) {
    audit::decision record;
    record.request = request_.id();
    record.kind = kind;
    record.code = code;
    record.sentence = std::move(sentence);
    record.choice = std::move(choice);
    parts_.decisions.record(std::move(record));
}

engine::order_header request_run::header(char step) const {
    return {
        attempt_ + step, runner_.options_.holder, call_.model,
        call_.request_class.priority, call_.organisation};
}

} // namespace mintknot::entry
