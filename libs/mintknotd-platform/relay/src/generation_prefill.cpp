/// @file
/// The prefill phase of a generation exchange.

#include "answer_status.hpp"
#include "generation_exchange.hpp"

#include <mintknot/policy/timeouts.hpp>
#include <mintknot/relay/server_results.hpp>

namespace mintknot::relay {

namespace {

constexpr std::size_t max_result_bytes = 64 * 1024;

} // namespace

void generation_exchange::start_prefill(
    const traffic::server& engine, double ahead) {
    const double tokens = request_.terms.prompt_tokens;
    prefill_.tokens_ahead = ahead;
    prefill_.expected = policy::prefill_time(
        context_.state.prefill_rates, engine.id, ahead + tokens);
    prefill_.server = engine.id;
    prefill_.tried.insert(engine.id);
    prefill_.started_at = context_.loop.now();
    prefill_.body.clear();
    ++attempts_.prefills;
    policy::note_sent(charges_);
    record_send();
    add_load(context_, prefill_.server, {1, tokens, 0.0});
    log_prefill();
    call_parameters options = call_options_for(engine);
    options.stage = call_stage::prefill;
    options.urgency = urgency();
    kept_ = {};
    kept_.location = base::to_string(engine.where);
    prefill_.call = upstream::call::start(
        context_.pool, {engine.id, engine.where, request_.terms.id},
        call_for(options), {},
        {[this](const http1::response_head& head) {
             return is_answer_to_request(head);
         },
         [this](http1::response_head& head) {
             prefill_.status = head.status;
             prefill_.metadata = context_.protocol.read_answer(head);
         },
         [this](std::string_view piece) { on_prefill_body(piece); },
         [this] { on_prefill_done(); },
         [this](upstream::call_failure why) { on_prefill_failure(why); }});
    silence_timer_.start(policy::prefill_timeout(prefill_.expected), [this] {
        on_prefill_silence();
    });
}

void generation_exchange::log_prefill() const {
    context_.log.write(
        "prefill", {{"request", request_.terms.id},
                    {"route", route_.name},
                    {"server", prefill_.server},
                    {"decode", decode_.server},
                    {"placed_by", placed_by_},
                    {"tokens", request_.terms.prompt_tokens},
                    {"expected_ms", prefill_.expected.count()},
                    {"try", std::int64_t{attempts_.prefills}},
                    {"servers_age_ms", server_table_age_ms(context_)},
                    {"config", static_cast<std::int64_t>(config_->version)}});
}

void generation_exchange::end_prefill() {
    silence_timer_.stop();
    prefill_.call.reset();
    if (prefill_.server.empty())
        return;
    remove_load(
        context_, prefill_.server, {1, request_.terms.prompt_tokens, 0.0});
    prefill_.server.clear();
}

void generation_exchange::on_prefill_body(std::string_view piece) {
    prefill_.body.append(piece);
    const std::size_t held = prefill_.body.size();
    if (!hold(held) || held > max_result_bytes)
        on_unusable_prefill();
}

void generation_exchange::on_prefill_done() {
    const std::optional<prefill_result> result =
        is_success(prefill_.status)
            ? context_.protocol.read_prefill(prefill_.body)
            : std::nullopt;
    if (!result) {
        on_unusable_prefill();
        return;
    }
    record_prefill_time(std::chrono::duration_cast<base::milliseconds>(
        context_.loop.now() - prefill_.started_at));
    note_call_result(
        context_, prefill_.server, policy::call_result::good,
        request_.terms.id);
    policy::note_prefill_end(charges_, policy::call_result::good);
    keep_result(*result);
    end_prefill();
    start_decode();
}

void generation_exchange::on_unusable_prefill() {
    const bool misdirected = prefill_.status == status_misdirected;
    const bool rejected = prefill_.metadata.not_executed;
    after_failed_prefill(
        misdirected ? policy::call_result::misdirected
        : rejected  ? policy::call_result::rejected
                    : policy::call_result::failed,
        rejected ? "prefill_rejected" : "prefill_failed");
}

void generation_exchange::record_prefill_time(base::milliseconds duration) {
    const double tokens = request_.terms.prompt_tokens;
    policy::note_prefill(
        context_.state.prefill_rates, prefill_.server,
        tokens + prefill_.tokens_ahead, duration);
    if (prefill_.tokens_ahead <= 0.0)
        policy::note_uncontended_prefill(
            context_.state.demands[service_.name], tokens, duration);
}

void generation_exchange::keep_result(const prefill_result& result) {
    kept_.server = prefill_.server;
    kept_.handle = result.handle;
    kept_.location =
        context_.protocol.result_location(kept_.location, result.handle);
    kept_.expires_at = context_.loop.now() +
                       policy::hand_over_window(service_.engine->handle_life);
}

void generation_exchange::on_prefill_failure(upstream::call_failure why) {
    if (upstream::nothing_was_sent(why)) {
        after_failed_prefill(
            policy::call_result::unreachable, "prefill_unreachable");
        return;
    }
    record_broken_call(prefill_.server, why, prefill_.started_at, false);
    after_failed_prefill(policy::call_result::broken, "prefill_broke_off");
}

void generation_exchange::on_prefill_silence() {
    after_failed_prefill(policy::call_result::slow, "prefill_silent");
}

void generation_exchange::after_failed_prefill(
    policy::call_result result, std::string_view reason) {
    note_call_result(context_, prefill_.server, result, request_.terms.id);
    policy::note_prefill_end(charges_, result);
    context_.log.write(
        "prefill_again", {{"request", request_.terms.id},
                          {"server", prefill_.server},
                          {"reason", reason},
                          {"after_ms", since_arrival().count()}});
    end_prefill();
    context_.metrics.count_retry(reason);
    place();
}

void generation_exchange::release_result() {
    if (kept_.server.empty())
        return;
    const traffic::server* engine =
        traffic::find(context_.state.servers, kept_.server);
    const kept_result unused = std::move(kept_);
    kept_ = {};
    context_.log.write(
        "result_dropped", {{"request", request_.terms.id},
                           {"server", unused.server},
                           {"handle", unused.handle}});
    if (engine != nullptr &&
        !policy::rests(
            context_.state.health.resting, engine->id, context_.loop.now()))
        context_.releases.add(*engine, unused.handle);
}

} // namespace mintknot::relay
