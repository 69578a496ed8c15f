#include "plain_exchange.hpp"

#include "answer_status.hpp"
#include "end_check.hpp"

#include <mintknot/policy/timeouts.hpp>
#include <mintknot/relay/server_notices.hpp>
#include <mintknot/relay/server_results.hpp>
#include <mintknot/traffic/event_splitter.hpp>

#include <algorithm>

namespace mintknot::relay {

namespace {

/// Answers up to this size are buffered until they are complete.
constexpr std::size_t max_buffered_bytes = 256 * 1024;
/// Of the end of a stream, for traffic::ends_inside_event().
constexpr std::size_t bytes_remembered = 4;

} // namespace

plain_exchange::plain_exchange(
    router_context& context, answer_sink& sink, caller_request request,
    std::shared_ptr<const traffic::configuration> config,
    const traffic::route& route, const traffic::service& service)
    : exchange(
          context, sink, std::move(request), std::move(config), route, service)
    , silence_timer_(context.loop) {}

plain_exchange::~plain_exchange() {
    release_load();
}

void plain_exchange::run() {
    place();
}

void plain_exchange::cancel_calls() {
    placement_.reset();
    call_.reset();
    silence_timer_.stop();
    end_check_.reset();
    release_load();
}

bool plain_exchange::may_be_running() const {
    return call_ != nullptr && call_->sent();
}

void plain_exchange::release_load() {
    if (server_.empty())
        return;
    remove_load(context_, server_, {1, 0.0, 0.0});
    server_.clear();
}

void plain_exchange::send(
    const traffic::server& server, const policy::placement& placed) {
    record_decision(placed);
    server_ = server.id;
    server_version_ = server.version;
    tried_.insert(server.id);
    add_load(context_, server_, {1, 0.0, 0.0});
    sent_at_ = context_.loop.now();
    ++sends_;
    ++attempts_.runs;
    record_send();
    answer_ = {};
    answer_metadata_ = {};
    answer_end_.reset();
    body_.clear();
    log_sent(placed);
    target_ = {server.id, server.where, request_.terms.id};
    call_ = upstream::call::start(
        context_.pool, target_, call_for(call_options_for(server)), {},
        {[this](const http1::response_head& head) {
             return is_answer_to_request(head);
         },
         [this](http1::response_head& head) { on_head(head); },
         [this](std::string_view piece) { on_body(piece); },
         [this] { on_done(); },
         [this](upstream::call_failure why) { on_failure(why); }});
    silence_timer_.start(
        policy::plain_timeout(route_), [this] { on_silence(); });
}

void plain_exchange::on_head(http1::response_head& head) {
    silence_timer_.stop();
    placement_.reset();
    answer_ = head;
    answer_metadata_ = context_.protocol.read_answer(head);
    answer_end_ = end_of_answer(head.status, answer_metadata_);
    // Only a rejection promises that the request has not run.
    if (answer_end_ != policy::call_end::rejected)
        raise_verdict(base::verdict::may_have_run);
    if (answer_end_ == policy::call_end::bad_answer)
        after_call(policy::call_end::bad_answer, policy::call_result::failed);
}

void plain_exchange::on_body(std::string_view piece) {
    if (attempts_.answer_begun) {
        remember_last_bytes(piece);
        sink_.data(piece);
        if (sink_.congested())
            call_->pause();
        return;
    }
    body_.append(piece);
    const bool stream =
        answer_metadata_.event_stream && is_success(answer_.status);
    if (hold(body_.size()) && !stream && body_.size() <= max_buffered_bytes)
        return;
    if (answer_end_ == policy::call_end::rejected)
        on_rejection();
    else
        start_streaming();
}

void plain_exchange::start_streaming() {
    raise_verdict(base::verdict::ran);
    attempts_.answer_begun = true;
    record_first_byte();
    if (answer_metadata_.event_stream)
        note_stream_begun(server_version_);
    http1::response_head head = answer_;
    http1::erase_hop_fields(head.fields);
    sink_.begin(std::move(head));
    remember_last_bytes(body_);
    sink_.data(body_);
    body_.clear();
    hold(0);
}

void plain_exchange::remember_last_bytes(std::string_view piece) {
    last_bytes_.append(
        piece.substr(piece.size() - std::min(piece.size(), bytes_remembered)));
    last_bytes_.erase(
        0, last_bytes_.size() - std::min(last_bytes_.size(), bytes_remembered));
}

bool plain_exchange::was_cut_inside_event() const {
    return attempts_.answer_begun && answer_.body == http1::framing::close &&
           answer_metadata_.event_stream &&
           traffic::ends_inside_event(last_bytes_);
}

void plain_exchange::on_sink_writable() {
    if (call_ != nullptr)
        call_->resume();
}

void plain_exchange::on_done() {
    if (was_cut_inside_event()) {
        on_failure(upstream::call_failure::ended);
        return;
    }
    if (answer_.body != http1::framing::close ||
        answer_end_ == policy::call_end::rejected) {
        on_answer();
        return;
    }
    call_.reset();
    check_end(target_, [this](bool whole) {
        if (whole)
            on_answer();
        else
            on_failure(upstream::call_failure::ended);
    });
}

void plain_exchange::on_answer() {
    const policy::call_end end = *answer_end_;
    if (end == policy::call_end::rejected) {
        on_rejection();
        return;
    }
    raise_verdict(base::verdict::ran);
    record_complete_answer();
    const bool good = end == policy::call_end::answered;
    if (good)
        record_service_time();
    const auto result =
        good ? policy::call_result::good : policy::call_result::failed;
    if (attempts_.answer_begun) {
        end_call(result);
        end_answer("answered");
        return;
    }
    after_call(end, result);
}

void plain_exchange::on_rejection() {
    --attempts_.runs;
    ++attempts_.rejections;
    if (context_.state.capacity_sharing)
        policy::note_rejections(context_.state.plain_times, server_, 1);
    after_call(
        policy::call_end::rejected, answer_.status == status_misdirected
                                        ? policy::call_result::misdirected
                                        : policy::call_result::rejected);
}

void plain_exchange::on_failure(upstream::call_failure why) {
    silence_timer_.stop();
    placement_.reset();
    if (upstream::nothing_was_sent(why)) {
        --attempts_.runs;
        ++attempts_.unreachable;
        after_call(
            policy::call_end::unreachable, policy::call_result::unreachable);
        return;
    }
    if (answer_end_ == policy::call_end::rejected) {
        on_rejection();
        return;
    }
    raise_verdict(base::verdict::may_have_run);
    record_broken_call(server_, why, sent_at_, true);
    after_call(policy::call_end::broken_off, policy::call_result::broken);
}

void plain_exchange::end_call(policy::call_result result) {
    const std::string server = server_;
    release_load();
    call_.reset();
    note_call_result(context_, server, result, request_.terms.id);
}

void plain_exchange::after_call(
    policy::call_end end, policy::call_result result) {
    end_call(result);
    apply_step(next_step(end));
}

policy::next_step plain_exchange::next_step(policy::call_end end) const {
    return policy::after_plain_call(
        end, route_, attempts_,
        {verdict_, answer_metadata_.not_executed, time_left()});
}

void plain_exchange::apply_step(const policy::next_step& step) {
    if (step.what != policy::action::send_again) {
        end_with_step(step.what, step);
        return;
    }
    if (step.costs_retry) {
        if (!spend_retry(context_, service_.name)) {
            end_with_step(step.otherwise, step);
            return;
        }
        context_.metrics.count_retry(step.reason);
    }
    place();
}

void plain_exchange::end_with_step(
    policy::action what, const policy::next_step& step) {
    if (what == policy::action::deliver) {
        deliver_answer(std::move(answer_), std::move(body_));
        return;
    }
    // Servers rejected it as full, so its caller returns as if it had been
    // denied capacity, also if no other server is left.
    if (context_.state.capacity_sharing && what == policy::action::give_up &&
        verdict_ == base::verdict::not_run && attempts_.rejections > 0) {
        refuse_for_capacity({});
        return;
    }
    if (step.server_out_of_reach) {
        give_up(
            step.reason,
            usable_retry_after(outage_retry_after(context_, service_.name)));
        return;
    }
    end_with_action(
        what, what == step.what ? step.reason : step.otherwise_reason);
}

} // namespace mintknot::relay
