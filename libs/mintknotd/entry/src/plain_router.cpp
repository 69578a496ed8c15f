#include <mintknot/entry/plain_router.hpp>

#include <mintknot/base/random.hpp>
#include <mintknot/base/sha256.hpp>

#include <fmt/format.h>

#include <algorithm>
#include <thread>

namespace mintknot::entry {

namespace {

using audit::decision_kind;
using base::outcome;
using base::reason;
using base::refusal;
using base::verdict;
using claims::claim_state;

constexpr base::milliseconds connect_timeout{500};
constexpr base::milliseconds look_period{100};
constexpr base::milliseconds retry_advice{1000};

claims::claim_key key_of(const plain_call& call) {
    return {call.organisation, call.idempotency_key};
}

std::string fingerprint_of(const plain_call& call) {
    return base::sha256_hex(
        call.service + "\n" + call.method + "\n" + call.path + "\n" +
        call.body);
}

refusal may_have_run(std::string sentence) {
    return {
        reason::outcome_unknown, std::move(sentence), verdict::may_have_run};
}

plain_answer replay(const claims::kept_answer& kept) {
    plain_answer answer{kept.status, kept.content_type, kept.body, true};
    if (!kept.body_kept)
        answer.body.clear();
    return answer;
}

} // namespace

plain_router::plain_router(
    const config::change_feed& feed, const control::control_loop& control,
    claims::claim_ledger& ledger, audit::decision_log& decisions)
    : feed_(feed)
    , control_(control)
    , ledger_(ledger)
    , decisions_(decisions) {}

plain_router::~plain_router() = default;

outcome<plain_answer> plain_router::call(const plain_call& call) {
    const auto service = feed_.current()->service(call.service);
    if (!service || service->spec.type != config::service_type::plain)
        return refusal{
            reason::unknown_service,
            fmt::format("there is no plain service '{}'", call.service)};
    const auto timeout = service->spec.call_timeout;
    if (config::is_repeatable(service->spec, call.method, call.path))
        return call_repeatable(call, timeout);
    if (call.idempotency_key.empty())
        return refusal{
            reason::idempotency_key_needed,
            "the call may not be repeated: send an Idempotency-Key, the same "
            "one for every try of the same call"};
    return call_once(call, timeout);
}

outcome<plain_answer> plain_router::call_repeatable(
    const plain_call& call, base::milliseconds timeout) {
    {
        const std::lock_guard lock(mutex_);
        routing::earn(budgets_[call.class_name], call.retry_percent);
    }
    verdict run = verdict::not_run;
    std::vector<std::string> excluded;
    while (true) {
        auto server = choose(call, excluded);
        if (!server) {
            refusal why = server.error();
            why.run = base::raised(why.run, run);
            return why;
        }
        auto answer = send(call, *server, timeout);
        if (answer)
            return answer;
        refusal why = answer.error();
        run = base::raised(run, why.run);
        why.run = run;
        const bool late = base::steady_clock::now() >= call.deadline;
        if (late || !spend_retry(call))
            return why;
        excluded.push_back(server->name);
        note(call, decision_kind::retry, why.code, why.sentence, server->name);
    }
}

outcome<plain_answer>
plain_router::call_once(const plain_call& call, base::milliseconds timeout) {
    claims::claim wanted;
    wanted.token = base::random_token();
    wanted.holder = base::to_string(control_.view()->self);
    wanted.request = call.id;
    wanted.fingerprint = fingerprint_of(call);
    wanted.created_ms = base::wall_now().time_since_epoch().count();
    const auto taken = ledger_.take(key_of(call), wanted);
    switch (taken.end) {
    case claims::claim_result::state::unavailable:
        return refusal{
            reason::claim_unavailable,
            "the platform cannot be reached to make sure that the call runs "
            "only once: " +
                taken.error,
            verdict::not_run, retry_advice};
    case claims::claim_result::state::taken:
        return answer_of_other(call, taken.row);
    case claims::claim_result::state::ours:
        break;
    }
    note(call, decision_kind::claim, reason::none, "the claim is ours");
    auto answer = run_claimed(call, timeout);
    if (answer) {
        ledger_.finish(
            key_of(call), wanted,
            {answer->status, answer->content_type, answer->body});
        return answer;
    }
    if (answer.error().run == verdict::not_run)
        ledger_.release(key_of(call), wanted);
    else
        ledger_.mark_unknown(key_of(call), wanted);
    return answer;
}

/// Tries server after server as long as nothing has run.
outcome<plain_answer>
plain_router::run_claimed(const plain_call& call, base::milliseconds timeout) {
    std::vector<std::string> excluded;
    while (true) {
        auto server = choose(call, excluded);
        if (!server)
            return server.error();
        auto answer = send(call, *server, timeout);
        if (answer || answer.error().run != verdict::not_run)
            return answer;
        if (base::steady_clock::now() >= call.deadline)
            return answer;
        excluded.push_back(server->name);
    }
}

outcome<plain_answer>
plain_router::answer_of_other(const plain_call& call, claims::claim row) {
    if (row.fingerprint != fingerprint_of(call))
        return refusal{
            reason::claim_taken,
            "the Idempotency-Key was used for another call", verdict::not_run};
    note(
        call, decision_kind::claim, reason::claim_taken,
        "an earlier call holds the claim", row.request);
    while (true) {
        if (row.state == claim_state::finished)
            return replay(row.answer);
        if (row.state == claim_state::unknown)
            return may_have_run(
                "an earlier call with this key got no answer; it may have run");
        const auto holder = base::parse_instance_id(row.holder);
        const bool alive =
            holder.ok() && control::find_live(*control_.view(), *holder);
        if (!alive)
            return may_have_run(
                "the instance that made this call has gone; it may have run");
        if (base::steady_clock::now() >= call.deadline)
            return may_have_run(
                "an earlier call with this key is still running");
        std::this_thread::sleep_for(look_period);
        const auto now = ledger_.look(key_of(call));
        if (absl::IsNotFound(now.status()))
            return refusal{
                reason::claim_taken,
                "an earlier call with this key was given up; send it again",
                verdict::not_run, retry_advice};
        if (now.ok())
            row = *now;
    }
}

outcome<plain_router::chosen_server> plain_router::choose(
    const plain_call& call, const std::vector<std::string>& excluded) {
    const auto now = base::steady_clock::now();
    const auto current = feed_.current();
    const std::string own = control_.view()->self.data_centre;
    const std::lock_guard lock(mutex_);
    routing::engine_table& table = tables_[call.service];
    routing::follow_configuration(table, *current, call.service, own);
    const bool none_here = std::none_of(
        table.engines.begin(), table.engines.end(),
        [](const auto& server) { return server.listed; });
    // Rather a server far away than none.
    if (none_here)
        for (const std::string& data_centre : current->data_centres())
            routing::add_listed(table, *current, call.service, data_centre);

    routing::engine_entry* best = nullptr;
    std::size_t full = 0;
    for (routing::engine_entry& server : table.engines) {
        const bool tried =
            std::find(excluded.begin(), excluded.end(), server.name) !=
            excluded.end();
        if (tried || !routing::unusable_because(server, now).empty())
            continue;
        const auto listed = current->backend_servers().find(server.name);
        if (server.decoding >= listed->second->spec.most_open) {
            ++full;
            continue;
        }
        if (best == nullptr || server.decoding < best->decoding)
            best = &server;
    }
    if (best == nullptr)
        return refusal{
            full > 0 ? reason::no_capacity : reason::no_backend_server,
            full > 0 ? "all backend servers of the service are full"
                     : "no backend server of the service can be used",
            verdict::not_run, retry_advice};
    ++best->decoding;
    return chosen_server{table.by_name.at(best->name), best->name, best->where};
}

outcome<plain_answer> plain_router::send(
    const plain_call& call, const chosen_server& server,
    base::milliseconds timeout) {
    const auto left = base::time_left(call.deadline, base::steady_clock::now());
    if (left.count() == 0) {
        give_back(call.service, server.number, true);
        return refusal{
            reason::deadline_passed, "the deadline passed before the call"};
    }
    const auto answer = client_.call(
        server.where, {.method = call.method,
                       .path = call.path,
                       .headers = call.headers,
                       .body = call.body,
                       .content_type = call.content_type,
                       .connect_timeout = std::min(connect_timeout, left),
                       .read_timeout = std::min(timeout, left)});
    give_back(call.service, server.number, answer.answered());
    if (answer.answered())
        return plain_answer{
            answer.status, answer.header("Content-Type"), answer.body};
    return refusal{
        answer.run == verdict::not_run ? reason::engine_unreachable
                                       : reason::engine_failed,
        fmt::format("backend server {}: {}", server.name, answer.error),
        answer.run, retry_advice};
}

void plain_router::give_back(
    const std::string& service, routing::engine_number number, bool good) {
    const std::lock_guard lock(mutex_);
    routing::engine_table& table = tables_[service];
    routing::engine_entry& server = table.engines[number];
    --server.decoding;
    if (good)
        routing::note_success(server);
    else
        routing::note_failure(table, server, base::steady_clock::now());
}

bool plain_router::spend_retry(const plain_call& call) {
    const std::lock_guard lock(mutex_);
    return routing::spend(budgets_[call.class_name]);
}

void plain_router::note(
    const plain_call& call, decision_kind kind, reason code,
    std::string sentence, std::string choice) {
    audit::decision record;
    record.request = call.id;
    record.kind = kind;
    record.code = code;
    record.sentence = std::move(sentence);
    record.choice = std::move(choice);
    decisions_.record(std::move(record));
}

} // namespace mintknot::entry
