#include "plain_exchange.hpp"

#include "answer_status.hpp"

#include <algorithm>

namespace mintknot::relay {

namespace {

/// Answers up to this size are held until they are whole.
constexpr std::size_t max_held_bytes = 256 * 1024;
constexpr int max_rejections = 3;
constexpr int max_unreachable = 4;
/// Silence after which a server is doubted: some target latencies, but early
/// enough that a repeatable request can still be answered elsewhere.
constexpr int patience = 3;
constexpr base::milliseconds min_patience{300};

base::milliseconds patience_for(const traffic::route& route) {
    return std::max(
        min_patience,
        std::min(route.target_latency * patience, route.timeout / 2));
}

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
    send();
}

void plain_exchange::cancel_calls() {
    placement_.reset();
    call_.reset();
    silence_timer_.stop();
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

void plain_exchange::send() {
    policy::placement_query wanted;
    wanted.service = service_.name;
    wanted.excluded = tried_;
    placement_ = place_request(
        context_, service_, std::move(wanted),
        [this](const policy::placement& placed) { on_placed(placed); });
}

void plain_exchange::on_placed(const policy::placement& placed) {
    const traffic::server* chosen =
        traffic::find(context_.state.servers, placed.server);
    if (chosen == nullptr || chosen->draining) {
        give_up(
            "no_backend_server", return_after_outage(context_, service_.name));
        return;
    }
    server_ = chosen->id;
    tried_.insert(chosen->id);
    add_load(context_, server_, {1, 0.0, 0.0});
    ++sends_;
    ++runs_;
    note_offer();
    answer_ = {};
    answer_terms_ = {};
    body_.clear();
    context_.log.write(
        "sent", {{"request", request_.terms.id},
                 {"route", route_.name},
                 {"server", server_},
                 {"placed_by", placed.by},
                 {"send", std::int64_t{sends_}},
                 {"config", static_cast<std::int64_t>(config_->version)},
                 {"left_ms", time_left().count()}});
    call_ = upstream::call::start(
        context_.pool, {chosen->id, chosen->where},
        call_for(terms_for(*chosen)), {},
        {[this](const http1::response_head& head) { return belongs(head); },
         [this](http1::response_head& head) { on_head(head); },
         [this](std::string_view piece) { on_body(piece); },
         [this] { on_done(); },
         [this](upstream::call_failure why) { on_failure(why); }});
    silence_timer_.start(patience_for(route_), [this] { on_silence(); });
}

void plain_exchange::on_head(http1::response_head& head) {
    silence_timer_.stop();
    answer_ = head;
    answer_terms_ = context_.protocol.read_answer(head);
}

void plain_exchange::on_body(std::string_view piece) {
    if (head_sent_) {
        sink_.data(piece);
        if (sink_.congested())
            call_->pause();
        return;
    }
    body_.append(piece);
    const bool success = is_success(answer_.status);
    const bool stream = answer_terms_.event_stream && answer_terms_.sealed &&
                        !answer_terms_.encoded && success;
    if (stream || body_.size() > max_held_bytes)
        start_streaming();
}

void plain_exchange::start_streaming() {
    raise(base::verdict::ran);
    head_sent_ = true;
    note_first_byte();
    http1::response_head head = answer_;
    http1::erase_hop_fields(head.fields);
    sink_.begin(std::move(head));
    sink_.data(body_);
    body_.clear();
}

void plain_exchange::drained() {
    if (call_ != nullptr)
        call_->resume();
}

bool plain_exchange::may_repeat_after_run() const {
    return route_.repeatable() && runs_ < route_.max_attempts;
}

void plain_exchange::on_done() {
    const std::string server = server_;
    release_load();
    call_.reset();
    if (head_sent_) {
        note_result(
            context_, server, policy::call_result::good, request_.terms.id);
        end_answer("answered");
        return;
    }
    if (answer_terms_.not_executed || answer_.status == status_misdirected) {
        --runs_;
        ++rejected_;
        const bool misdirected = answer_.status == status_misdirected;
        note_result(
            context_, server,
            misdirected ? policy::call_result::misdirected
                        : policy::call_result::rejected,
            request_.terms.id);
        if (rejected_ > max_rejections)
            give_up("server_rejected");
        else
            send_again("server_rejected");
        return;
    }
    raise(base::verdict::ran);
    const bool success = is_success(answer_.status);
    const bool spoiled =
        answer_terms_.encoded || (success && !answer_terms_.sealed);
    const bool failed = spoiled || answer_.status >= 500;
    note_result(
        context_, server,
        failed ? policy::call_result::failed : policy::call_result::good,
        request_.terms.id);
    if (failed && may_repeat_after_run() &&
        time_left() > base::milliseconds{0} &&
        spend_repeat(context_, service_.name)) {
        context_.metrics.count_repeat("server_failure");
        send();
        return;
    }
    if (spoiled)
        give_up("bad_answer");
    else
        answer_whole(std::move(answer_), std::move(body_));
}

void plain_exchange::on_failure(upstream::call_failure why) {
    silence_timer_.stop();
    const std::string server = server_;
    release_load();
    call_.reset();
    if (why == upstream::call_failure::unreachable) {
        --runs_;
        ++unreachable_;
        note_result(
            context_, server, policy::call_result::unreachable,
            request_.terms.id);
        // Nothing was sent, so that this costs no allowance.
        if (unreachable_ > max_unreachable)
            give_up(
                "server_unreachable",
                return_after_outage(context_, service_.name));
        else
            send();
        return;
    }
    raise(base::verdict::may_have_run);
    note_result(
        context_, server, policy::call_result::failed, request_.terms.id);
    if (head_sent_)
        break_answer("server_broke_off");
    else
        send_again("server_broke_off");
}

void plain_exchange::on_silence() {
    note_result(
        context_, server_, policy::call_result::slow, request_.terms.id);
    if (!may_repeat_after_run() || !spend_repeat(context_, service_.name))
        return;
    raise(base::verdict::may_have_run);
    cancel_calls();
    context_.metrics.count_repeat("server_silent");
    send();
}

void plain_exchange::send_again(std::string_view reason) {
    const bool allowed = answer_terms_.not_executed || may_repeat_after_run() ||
                         verdict_ == base::verdict::not_run;
    if (!allowed || !spend_repeat(context_, service_.name)) {
        give_up(reason);
        return;
    }
    context_.metrics.count_repeat(reason);
    send();
}

} // namespace mintknot::relay
