/// @file
/// The part of a generation exchange that has the prompt read.

#include "answer_status.hpp"
#include "generation_exchange.hpp"

#include <algorithm>

namespace mintknot::relay {

namespace {

constexpr std::size_t max_result_bytes = 64 * 1024;
/// A kept result is used only while this much of its life is left.
constexpr base::milliseconds result_margin{60};
/// How long a prefill may take beyond what is expected.
constexpr int prefill_patience = 3;
constexpr base::milliseconds min_prefill_patience{250};

} // namespace

void generation_exchange::note_taken_up() {
    if (prefill_taken_up_)
        return;
    prefill_taken_up_ = true;
    --arrivals_;
}

void generation_exchange::start_prefill(
    const traffic::server& engine, double ahead) {
    const double tokens = request_.terms.prompt_tokens;
    prefill_ahead_ = ahead;
    prefill_expected_ =
        policy::read_time(context_.state.rates, engine.id, ahead + tokens);
    prefill_server_ = engine.id;
    prefill_tried_.insert(engine.id);
    prefill_started_ = context_.loop.now();
    prefill_body_.clear();
    ++prefills_;
    ++arrivals_;
    note_offer();
    add_load(context_, prefill_server_, {1, tokens, 0.0});
    context_.log.write(
        "prefill", {{"request", request_.terms.id},
                    {"route", route_.name},
                    {"server", prefill_server_},
                    {"decode", decode_server_},
                    {"placed_by", placed_by_},
                    {"tokens", tokens},
                    {"expected_ms", prefill_expected_.count()},
                    {"try", std::int64_t{prefills_}},
                    {"config", static_cast<std::int64_t>(config_->version)}});
    call_terms terms = terms_for(engine);
    terms.stage = call_stage::prefill;
    kept_ = {};
    kept_.place = base::to_string(engine.where);
    prefill_call_ = upstream::call::start(
        context_.pool, {engine.id, engine.where}, call_for(terms), {},
        {[this](const http1::response_head& head) { return belongs(head); },
         [this](http1::response_head& head) {
             prefill_status_ = head.status;
             prefill_terms_ = context_.protocol.read_answer(head);
         },
         [this](std::string_view piece) {
             if (prefill_body_.size() < max_result_bytes)
                 prefill_body_.append(piece);
         },
         [this] { on_prefill_done(); },
         [this](upstream::call_failure why) { on_prefill_failure(why); }});
    silence_timer_.start(
        std::max(min_prefill_patience, prefill_expected_ * prefill_patience),
        [this] { on_prefill_silence(); });
}

void generation_exchange::end_prefill() {
    silence_timer_.stop();
    prefill_call_.reset();
    if (prefill_server_.empty())
        return;
    remove_load(
        context_, prefill_server_, {1, request_.terms.prompt_tokens, 0.0});
    prefill_server_.clear();
}

void generation_exchange::on_prefill_done() {
    const std::optional<prefill_result> result =
        is_success(prefill_status_)
            ? context_.protocol.read_prefill(prefill_body_)
            : std::nullopt;
    if (!result) {
        const bool misdirected = prefill_status_ == status_misdirected;
        const bool rejected = prefill_terms_.not_executed;
        after_failed_prefill(
            misdirected ? policy::call_result::misdirected
            : rejected  ? policy::call_result::rejected
                        : policy::call_result::failed,
            rejected ? "prefill_rejected" : "prefill_failed");
        return;
    }
    const base::steady_time now = context_.loop.now();
    const auto took =
        std::chrono::duration_cast<base::milliseconds>(now - prefill_started_);
    policy::note_read(
        context_.state.rates, prefill_server_,
        request_.terms.prompt_tokens + prefill_ahead_, took);
    if (prefill_ahead_ <= 0.0)
        policy::note_read_alone(
            context_.state.demands[service_.name], request_.terms.prompt_tokens,
            took);
    note_result(
        context_, prefill_server_, policy::call_result::good,
        request_.terms.id);
    note_taken_up();
    kept_.server = prefill_server_;
    kept_.handle = result->handle;
    kept_.place = context_.protocol.result_place(kept_.place, result->handle);
    kept_.until = now + service_.engine->handle_life - result_margin;
    end_prefill();
    start_decode();
}

void generation_exchange::on_prefill_failure(upstream::call_failure why) {
    if (why == upstream::call_failure::unreachable)
        after_failed_prefill(
            policy::call_result::unreachable, "prefill_unreachable");
    else
        after_failed_prefill(policy::call_result::failed, "prefill_broke_off");
}

void generation_exchange::on_prefill_silence() {
    after_failed_prefill(policy::call_result::slow, "prefill_silent");
}

void generation_exchange::after_failed_prefill(
    policy::call_result result, std::string_view reason) {
    note_result(context_, prefill_server_, result, request_.terms.id);
    if (result == policy::call_result::unreachable)
        --arrivals_;
    else if (
        result == policy::call_result::failed ||
        result == policy::call_result::slow)
        note_taken_up();
    context_.log.write(
        "prefill_again", {{"request", request_.terms.id},
                          {"server", prefill_server_},
                          {"reason", reason},
                          {"after_ms", since_arrival().count()}});
    end_prefill();
    context_.metrics.count_repeat(reason);
    place();
}

void generation_exchange::drop_result() {
    if (kept_.server.empty())
        return;
    const traffic::server* engine =
        traffic::find(context_.state.servers, kept_.server);
    const kept_result dropped = std::move(kept_);
    kept_ = {};
    context_.log.write(
        "result_dropped", {{"request", request_.terms.id},
                           {"server", dropped.server},
                           {"handle", dropped.handle}});
    if (engine != nullptr)
        context_.releases.add(*engine, dropped.handle);
}

} // namespace mintknot::relay
