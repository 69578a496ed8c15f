#include <mintknot/routing/scheduler.hpp>

#include <fmt/format.h>

#include <algorithm>
#include <cassert>

namespace mintknot::routing {

namespace {

using audit::decision_kind;

/// Share of a new observation in the learned prefill rate.
constexpr double rate_share = 0.2;
/// Shorter prefills say little about the rate.
constexpr std::uint64_t least_observed_tokens = 128;
constexpr base::milliseconds shortest_retry{200};
constexpr base::milliseconds longest_retry{10000};
/// Queued requests looked at in one go, so that one round stays short.
constexpr std::size_t most_looked_at = 16;

bool holds_prefill(progress_phase phase) {
    return phase == progress_phase::prefilling;
}

/// Adds or removes what a reservation holds on its engines.
void hold(scheduler& state, const reservation& held) {
    engine_entry& prefill = state.table.engines[held.where.prefill];
    engine_entry& decode = state.table.engines[held.where.decode];
    decode.reserved += held.query.prompt_tokens + held.query.max_tokens;
    ++decode.decoding;
    if (holds_prefill(held.phase))
        prefill.pending_prefill += held.uncached_tokens;
    if (held.phase == progress_phase::prefilled)
        ++prefill.exporting;
}

void release(scheduler& state, const reservation& held) {
    engine_entry& prefill = state.table.engines[held.where.prefill];
    engine_entry& decode = state.table.engines[held.where.decode];
    decode.reserved -= held.query.prompt_tokens + held.query.max_tokens;
    --decode.decoding;
    if (holds_prefill(held.phase))
        prefill.pending_prefill -= held.uncached_tokens;
    if (held.phase == progress_phase::prefilled)
        --prefill.exporting;
}

void move_to(scheduler& state, reservation& held, progress_phase phase) {
    release(state, held);
    held.phase = phase;
    hold(state, held);
}

/// Learns the prefill rate from the time between two ends on one engine.
void learn_rate(
    engine_entry& engine, const reservation& held, std::uint64_t computed,
    base::steady_time now) {
    const auto begin = std::max(held.placed_at, engine.last_prefill_end);
    engine.last_prefill_end = now;
    const std::chrono::duration<double> took = now - begin;
    if (computed < least_observed_tokens || took.count() <= 0.0)
        return;
    const double observed = static_cast<double>(computed) / took.count();
    engine.prefill_rate += rate_share * (observed - engine.prefill_rate);
}

void take_prefilled(
    scheduler& state, reservation& held, const progress& report,
    base::steady_time now) {
    engine_entry& engine = state.table.engines[held.where.prefill];
    const std::uint64_t cached =
        std::min(report.cached_tokens, held.query.prompt_tokens);
    learn_rate(engine, held, held.query.prompt_tokens - cached, now);
    if (cached < held.where.cached_tokens) {
        // The index believed too much: keep what is true, then what was stored.
        state.prefixes.correct(
            held.where.prefill, held.query.prefix,
            static_cast<std::uint32_t>(cached / base::block_tokens));
        state.prefixes.add(held.where.prefill, held.query.prefix);
    }
    note_success(engine);
    move_to(state, held, progress_phase::prefilled);
}

audit::decision
record_for(const place_query& query, const place_choice& choice) {
    audit::decision record;
    record.request = query.request;
    record.code = choice.code;
    record.sentence = choice.sentence;
    record.candidates = choice.candidates;
    record.inputs = {
        {"prompt_tokens", fmt::format("{}", query.prompt_tokens)},
        {"max_tokens", fmt::format("{}", query.max_tokens)},
        {"time_left", fmt::format("{} ms", query.time_left.count())},
        {"class", query.request_class}};
    return record;
}

/// Notes how old the reports of the chosen engines were.
void add_ages(
    audit::decision& record, const engine_table& table, const placement& where,
    base::steady_time now) {
    for (const engine_number number : {where.prefill, where.decode}) {
        const engine_entry& engine = table.engines[number];
        record.inputs.push_back(
            {"report of " + engine.name,
             fmt::format("{} tokens of KV used", engine.load.kv_used),
             std::chrono::duration_cast<base::milliseconds>(
                 now - engine.load.read_at)});
    }
}

place_answer refuse(
    const place_query& query, const place_choice& choice,
    base::milliseconds retry_after) {
    place_answer answer;
    answer.end = place_answer::state::refused;
    answer.refused = {
        choice.code, choice.sentence, base::verdict::not_run,
        std::clamp(retry_after, shortest_retry, longest_retry)};
    answer.record = record_for(query, choice);
    answer.record.kind = decision_kind::refusal;
    return answer;
}

place_answer accept(
    scheduler& state, const place_query& query, const place_choice& choice,
    base::steady_time now) {
    const placement& where = *choice.chosen;
    const engine_entry& prefill = state.table.engines[where.prefill];
    const engine_entry& decode = state.table.engines[where.decode];

    // The same try may be asked for twice, after a lost answer.
    const auto earlier = state.reservations.find(query.attempt);
    if (earlier != state.reservations.end()) {
        release(state, earlier->second);
        state.reservations.erase(earlier);
    }
    reservation held;
    held.query = query;
    held.where = where;
    held.uncached_tokens = query.prompt_tokens - where.cached_tokens;
    held.placed_at = now;
    held.kept_alive_at = now;
    if (!query.prefilled_on.empty())
        held.phase = progress_phase::prefilled;
    hold(state, held);
    state.prefixes.add(where.prefill, query.prefix);

    place_answer answer;
    answer.end = place_answer::state::placed;
    answer.attempt = query.attempt;
    answer.where = where;
    answer.prefill_name = prefill.name;
    answer.decode_name = decode.name;
    answer.prefill_at = prefill.where;
    answer.decode_at = decode.where;
    answer.record = record_for(query, choice);
    answer.record.kind = decision_kind::placement;
    answer.record.choice = prefill.name + " > " + decode.name;
    add_ages(answer.record, state.table, where, now);
    state.reservations.emplace(answer.attempt, std::move(held));
    return answer;
}

bool is_too_late(
    const scheduler& state, const place_query& query, const place_goal& goal,
    const placement& where) {
    const auto latest = state.options.latest_first_token *
                        static_cast<double>(goal.first_token.count());
    return where.first_token_ms > latest ||
           where.first_token_ms > static_cast<double>(query.time_left.count());
}

/// Tries once. @return a queued answer if it may be tried again.
place_answer try_once(
    scheduler& state, const place_query& query, const place_goal& goal,
    base::steady_time now) {
    place_choice choice = choose(state.table, state.prefixes, query, goal, now);
    if (choice.chosen && is_too_late(state, query, goal, *choice.chosen)) {
        const auto wait = base::milliseconds{static_cast<std::int64_t>(
            choice.chosen->first_token_ms -
            static_cast<double>(goal.first_token.count()))};
        choice.code = base::reason::deadline_unreachable;
        choice.sentence = fmt::format(
            "the first token is expected in {:.0f} ms; the target is {} ms and "
            "{} ms are left",
            choice.chosen->first_token_ms, goal.first_token.count(),
            query.time_left.count());
        return refuse(query, choice, wait);
    }
    if (choice.chosen)
        return accept(state, query, choice, now);
    place_answer answer;
    answer.end = place_answer::state::queued;
    answer.record = record_for(query, choice);
    answer.record.kind = decision_kind::queued;
    return answer;
}

/// The order of the queue: priority first, then the nearer deadline.
bool goes_before(const queued_request& left, const queued_request& right) {
    if (left.goal.priority != right.goal.priority)
        return left.goal.priority > right.goal.priority;
    return left.deadline < right.deadline;
}

/// How long a request may wait for room: what its class tolerates for the
/// first token, or its deadline if that is nearer.
base::steady_time latest_start(
    const scheduler& state, const place_query& query, const place_goal& goal,
    base::steady_time now) {
    const auto tolerated = base::milliseconds{static_cast<std::int64_t>(
        state.options.latest_first_token *
        static_cast<double>(goal.first_token.count()))};
    return now + std::min(tolerated, query.time_left);
}

void release_silent(scheduler& state, base::steady_time now) {
    std::erase_if(state.reservations, [&](const auto& item) {
        const reservation& held = item.second;
        if (now - held.kept_alive_at <= state.options.keep_alive)
            return false;
        release(state, held);
        return true;
    });
}

/// @return an answer for a request that others go before.
place_answer queued_behind(const scheduler& state, const place_query& query) {
    place_choice choice;
    choice.code = base::reason::no_capacity;
    choice.sentence =
        fmt::format("{} requests wait already", state.queue.size());
    place_answer answer;
    answer.end = place_answer::state::queued;
    answer.record = record_for(query, choice);
    answer.record.kind = decision_kind::queued;
    return answer;
}

/// Puts a request into the queue, or refuses it where it may not wait.
/// @param answer of the try that found no room.
place_answer
enqueue(scheduler& state, queued_request&& wanted, place_answer answer) {
    place_choice refused;
    refused.code = answer.record.code;
    refused.sentence = answer.record.sentence;
    refused.candidates = answer.record.candidates;
    if (!wanted.query.may_wait)
        return refuse(wanted.query, refused, wanted.goal.first_token);
    if (state.queue.size() >= state.options.most_queued) {
        refused.code = base::reason::queue_full;
        refused.sentence = fmt::format(
            "{} requests wait already; {}", state.queue.size(),
            answer.record.sentence);
        return refuse(wanted.query, refused, wanted.goal.first_token);
    }
    wanted.ticket = state.next_ticket++;
    answer.ticket = wanted.ticket;
    const auto position = std::upper_bound(
        state.queue.begin(), state.queue.end(), wanted, goes_before);
    state.queue.insert(position, std::move(wanted));
    return answer;
}

} // namespace

scheduler::scheduler(const scheduler_options& chosen)
    : options(chosen)
    , prefixes(chosen.most_prefixes) {}

place_answer place(
    scheduler& state, const place_query& query, const place_goal& goal,
    base::steady_time now) {
    assert(query.prompt_tokens > 0);
    // Those who wait already go first, unless this one is more urgent.
    queued_request wanted{
        0, query, goal, now, latest_start(state, query, goal, now)};
    const bool others_first =
        !state.queue.empty() && !goes_before(wanted, state.queue.front());
    place_answer answer = others_first ? queued_behind(state, query)
                                       : try_once(state, query, goal, now);
    if (answer.end != place_answer::state::queued)
        return answer;
    return enqueue(state, std::move(wanted), std::move(answer));
}

void take_progress(
    scheduler& state, const progress& report, base::steady_time now) {
    const auto position = state.reservations.find(report.attempt);
    if (position == state.reservations.end())
        return;
    reservation& held = position->second;
    held.kept_alive_at = now;
    if (report.phase == held.phase)
        return;
    engine_entry& prefill = state.table.engines[held.where.prefill];
    engine_entry& decode = state.table.engines[held.where.decode];
    switch (report.phase) {
    case progress_phase::prefilling:
        return;
    case progress_phase::prefilled:
        return take_prefilled(state, held, report, now);
    case progress_phase::decoding:
        note_success(decode);
        return move_to(state, held, progress_phase::decoding);
    case progress_phase::prefill_failed:
        note_failure(state.table, prefill, now);
        break;
    case progress_phase::decode_failed:
        note_failure(state.table, decode, now);
        break;
    case progress_phase::finished:
        note_success(decode);
        break;
    }
    release(state, held);
    state.reservations.erase(position);
}

void take_engine_load(
    scheduler& state, const std::string& engine, const engine_load& load,
    base::steady_time now) {
    engine_entry* entry = find_engine(state.table, engine);
    if (entry == nullptr)
        return;
    if (!take_load(*entry, load))
        return;
    // The engine has restarted: its cache and its memory are empty.
    const engine_number number = state.table.by_name.at(engine);
    state.prefixes.forget(number);
    std::erase_if(state.reservations, [&](const auto& item) {
        const reservation& held = item.second;
        const bool lost = held.placed_at < now && held.where.decode == number;
        if (lost)
            release(state, held);
        return lost;
    });
}

std::vector<place_answer> advance(scheduler& state, base::steady_time now) {
    release_silent(state, now);
    std::vector<place_answer> answers;
    std::vector<queued_request> waiting = std::move(state.queue);
    state.queue.clear();
    std::size_t looked_at = 0;
    for (queued_request& item : waiting) {
        const bool over = item.deadline <= now;
        if (!over && looked_at >= most_looked_at) {
            state.queue.push_back(std::move(item));
            continue;
        }
        item.query.time_left = base::time_left(item.deadline, now);
        place_answer answer;
        if (over) {
            place_choice choice =
                choose(state.table, state.prefixes, item.query, item.goal, now);
            choice.code = base::reason::no_capacity;
            choice.sentence = fmt::format(
                "waited {} ms for room and found none",
                std::chrono::duration_cast<base::milliseconds>(
                    now - item.queued_at)
                    .count());
            answer = refuse(item.query, choice, item.goal.first_token);
        } else {
            ++looked_at;
            answer = try_once(state, item.query, item.goal, now);
        }
        if (answer.end == place_answer::state::queued) {
            state.queue.push_back(std::move(item));
            continue;
        }
        answer.ticket = item.ticket;
        answers.push_back(std::move(answer));
    }
    return answers;
}

} // namespace mintknot::routing
