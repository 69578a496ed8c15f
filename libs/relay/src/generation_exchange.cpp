#include "generation_exchange.hpp"

#include <algorithm>

namespace mintknot::relay {

namespace {

constexpr base::milliseconds room_poll{15};
constexpr int most_prefills = 3;
/// Part of the target latency within which a prefill engine must be done;
/// else the decode engine reads the prompt itself.
constexpr int read_time_part = 2;
constexpr int most_rejections = 3;
/// Connections that may fail before the next one waits a moment.
constexpr int most_unreachable = 3;
constexpr int status_misdirected = 421;
/// Part of an engine's memory that is given out.
constexpr double free_share = 0.97;
/// The same with the requests that wait in the engine's own queue.
constexpr double queued_share = 1.15;
constexpr std::size_t most_failure_bytes = 64 * 1024;
/// A kept result is used only while this much of its life is left.
constexpr base::milliseconds result_margin{60};
/// How long a prefill may take beyond what is expected.
constexpr int prefill_patience = 3;
constexpr base::milliseconds least_prefill_patience{250};
/// Silence after which a stream that may be resumed goes on elsewhere.
constexpr base::milliseconds first_event_patience{1000};
constexpr base::milliseconds next_event_patience{700};

bool is_success(int status) {
    return status >= 200 && status < 300;
}

} // namespace

generation_exchange::generation_exchange(
    router& owner, answer_sink& sink, caller_request request,
    std::shared_ptr<const traffic::catalogue> config,
    const traffic::route& route, const traffic::service& service)
    : exchange(
          owner, sink, std::move(request), std::move(config), route, service)
    , wait_timer_(owner.loop)
    , silence_timer_(owner.loop) {}

generation_exchange::~generation_exchange() {
    cancel_calls();
}

void generation_exchange::run() {
    place();
}

void generation_exchange::cancel_calls() {
    wait_timer_.stop();
    silence_timer_.stop();
    end_prefill();
    decode_call_.reset();
    release_decode();
    drop_result();
}

bool generation_exchange::may_be_running() const {
    return decode_call_ != nullptr && decode_call_->sent();
}

double generation_exchange::memory_needed() const {
    const request_terms& terms = request_.terms;
    const double most = terms.most_output_tokens;
    const double expected =
        std::min(most, terms.expected_output_tokens.value_or(most / 2.0));
    return terms.prompt_tokens + owner_.options.output_share * expected;
}

bool generation_exchange::result_usable() const {
    return !kept_.server.empty() && owner_.loop.now() < kept_.until;
}

void generation_exchange::place() {
    if (result_usable() || rejected_ > 1) {
        if (reserve_decode("", free_share))
            start_decode();
        else
            wait_for_room();
        return;
    }
    const traffic::selection_inputs inputs = selection_for(owner_, service_);
    const bool reads_apart =
        owner_.options.prefill == prefill_policy::separate &&
        prefills_ < most_prefills;
    const traffic::server* prefill =
        reads_apart ? traffic::select_prefill(
                          inputs, prefill_tried_, request_.terms.prompt_tokens)
                    : nullptr;
    if (!reserve_decode(
            prefill == nullptr ? "" : prefill->data_centre, free_share)) {
        // An engine's own queue holds a few more, which it reads itself.
        if (owner_.options.queue_at_engines && reserve_decode("", queued_share))
            start_decode();
        else
            wait_for_room();
        return;
    }
    if (prefill != nullptr && reads_in_time(*prefill) && may_send())
        start_prefill(*prefill);
    else
        start_decode();
}

bool generation_exchange::reads_in_time(const traffic::server& engine) const {
    const traffic::selection_inputs inputs = selection_for(owner_, service_);
    return traffic::expected_read_time(
               inputs, engine, request_.terms.prompt_tokens) <
           route_.target_latency / read_time_part;
}

bool generation_exchange::may_send() {
    return arrivals_ == 0 || spend_repeat(owner_, service_.name);
}

void generation_exchange::note_taken_up() {
    if (prefill_taken_up_)
        return;
    prefill_taken_up_ = true;
    --arrivals_;
}

void generation_exchange::wait_for_room() {
    const room_terms terms = room_terms_for(
        owner_.state.deadlines[route_.name], route_.target_latency,
        request_.terms.deadline, prefills_ > 0, owner_.draw());
    // A stream that has begun is worth waiting for, whatever its target.
    if (!head_sent_ && since_arrival() >= terms.wait) {
        log_room();
        give_up("no_capacity", terms.come_back);
        return;
    }
    wait_timer_.start(room_poll, [this] { place(); });
}

void generation_exchange::log_room() {
    const traffic::room_summary room =
        traffic::summarize_room(selection_for(owner_, service_));
    owner_.log.write(
        "no_room", {{"request", request_.terms.id},
                    {"needs", memory_needed()},
                    {"engines", std::int64_t{room.engines}},
                    {"avoided", std::int64_t{room.avoided}},
                    {"most_room", room.most_room},
                    {"peers", static_cast<std::int64_t>(
                                  owner_.state.loads.peers.size())},
                    {"waited_ms", since_arrival().count()}});
}

bool generation_exchange::reserve_decode(
    const std::string& data_centre, double memory_share) {
    release_decode();
    const traffic::selection_inputs inputs = selection_for(owner_, service_);
    const traffic::decode_request wanted{
        memory_needed(), memory_share, data_centre};
    const traffic::server* chosen =
        traffic::select_decode(inputs, decode_tried_, wanted);
    if (chosen == nullptr && !decode_tried_.empty() && rejected_ == 0)
        chosen = traffic::select_decode(inputs, {}, wanted);
    if (chosen == nullptr)
        return false;
    decode_server_ = chosen->id;
    decode_reserved_ = memory_needed();
    add_load(owner_, decode_server_, {1, 0.0, decode_reserved_});
    return true;
}

void generation_exchange::release_decode() {
    if (decode_server_.empty())
        return;
    remove_load(owner_, decode_server_, {1, 0.0, decode_reserved_});
    decode_server_.clear();
}

void generation_exchange::start_prefill(const traffic::server& engine) {
    const traffic::selection_inputs inputs = selection_for(owner_, service_);
    const double tokens = request_.terms.prompt_tokens;
    prefill_expected_ = traffic::expected_read_time(inputs, engine, tokens);
    prefill_ahead_ = traffic::total(owner_.state.loads, engine.id, inputs.now)
                         .prefill_tokens;
    prefill_server_ = engine.id;
    prefill_tried_.insert(engine.id);
    prefill_started_ = owner_.loop.now();
    prefill_body_.clear();
    ++prefills_;
    ++arrivals_;
    add_load(owner_, prefill_server_, {1, tokens, 0.0});
    owner_.log.write(
        "prefill", {{"request", request_.terms.id},
                    {"route", route_.name},
                    {"server", prefill_server_},
                    {"decode", decode_server_},
                    {"tokens", tokens},
                    {"expected_ms", prefill_expected_.count()},
                    {"try", std::int64_t{prefills_}},
                    {"config", static_cast<std::int64_t>(config_->version)}});
    call_terms terms = terms_for(engine);
    terms.stage = call_stage::prefill;
    kept_ = {};
    kept_.place = base::to_string(engine.where);
    prefill_call_ = upstream::call::start(
        owner_.pool, {engine.id, engine.where}, call_for(terms), {},
        {[this](const http1::response_head& head) {
             const answer_terms seen = owner_.protocol.read_answer(head);
             return seen.request_id == request_.terms.id ||
                    (seen.request_id.empty() && seen.not_executed);
         },
         [this](http1::response_head& head) {
             prefill_status_ = head.status;
             prefill_terms_ = owner_.protocol.read_answer(head);
         },
         [this](std::string_view piece) {
             if (prefill_body_.size() < most_failure_bytes)
                 prefill_body_.append(piece);
         },
         [this] { on_prefill_done(); },
         [this](upstream::call_failure why) { on_prefill_failure(why); }});
    silence_timer_.start(
        std::max(least_prefill_patience, prefill_expected_ * prefill_patience),
        [this] { on_prefill_silence(); });
}

void generation_exchange::end_prefill() {
    silence_timer_.stop();
    prefill_call_.reset();
    if (prefill_server_.empty())
        return;
    remove_load(
        owner_, prefill_server_, {1, request_.terms.prompt_tokens, 0.0});
    prefill_server_.clear();
}

void generation_exchange::on_prefill_done() {
    const std::optional<prefill_result> result =
        is_success(prefill_status_)
            ? owner_.protocol.read_prefill(prefill_body_)
            : std::nullopt;
    if (!result) {
        const bool misdirected = prefill_status_ == status_misdirected;
        const bool rejected = prefill_terms_.not_executed;
        after_failed_prefill(
            misdirected ? traffic::call_result::misdirected
            : rejected  ? traffic::call_result::rejected
                        : traffic::call_result::failed,
            rejected ? "prefill_rejected" : "prefill_failed");
        return;
    }
    const base::steady_time now = owner_.loop.now();
    const auto took =
        std::chrono::duration_cast<base::milliseconds>(now - prefill_started_);
    traffic::note_read(
        owner_.state.rates, prefill_server_,
        request_.terms.prompt_tokens + prefill_ahead_, took);
    if (prefill_ahead_ <= 0.0)
        traffic::note_read_alone(
            owner_.state.demands[service_.name], request_.terms.prompt_tokens,
            took);
    note_result(
        owner_, prefill_server_, traffic::call_result::good, request_.terms.id);
    note_taken_up();
    kept_.server = prefill_server_;
    kept_.handle = result->handle;
    kept_.place = owner_.protocol.result_place(kept_.place, result->handle);
    kept_.until = now + service_.engine->handle_life - result_margin;
    end_prefill();
    start_decode();
}

void generation_exchange::on_prefill_failure(upstream::call_failure why) {
    if (why == upstream::call_failure::unreachable)
        after_failed_prefill(
            traffic::call_result::unreachable, "prefill_unreachable");
    else
        after_failed_prefill(traffic::call_result::failed, "prefill_broke_off");
}

void generation_exchange::on_prefill_silence() {
    after_failed_prefill(traffic::call_result::slow, "prefill_silent");
}

void generation_exchange::after_failed_prefill(
    traffic::call_result result, std::string_view reason) {
    note_result(owner_, prefill_server_, result, request_.terms.id);
    if (result == traffic::call_result::unreachable)
        --arrivals_;
    else if (
        result == traffic::call_result::failed ||
        result == traffic::call_result::slow)
        note_taken_up();
    owner_.log.write(
        "prefill_again", {{"request", request_.terms.id},
                          {"server", prefill_server_},
                          {"reason", reason},
                          {"after_ms", since_arrival().count()}});
    end_prefill();
    owner_.metrics.count_repeat(reason);
    place();
}

void generation_exchange::start_decode() {
    const traffic::server* engine =
        traffic::find(owner_.state.servers, decode_server_);
    if (engine == nullptr || engine->draining) {
        if (!reserve_decode("", free_share)) {
            wait_for_room();
            return;
        }
        engine = traffic::find(owner_.state.servers, decode_server_);
    }
    if (!may_send()) {
        if (head_sent_)
            break_answer("retry_allowance_spent");
        else
            give_up("retry_allowance_spent");
        return;
    }
    const bool with_result = result_usable();
    decode_tried_.insert(decode_server_);
    decode_started_ = owner_.loop.now();
    ++sends_;
    ++arrivals_;
    ++runs_;
    streaming_ = false;
    splitter_ = {};
    failure_body_.clear();
    owner_.log.write(
        "decode", {{"request", request_.terms.id},
                   {"route", route_.name},
                   {"server", decode_server_},
                   {"prefilled_by", kept_.server},
                   {"with_result", with_result},
                   {"send", std::int64_t{sends_}},
                   {"config", static_cast<std::int64_t>(config_->version)},
                   {"after_ms", since_arrival().count()}});
    call_terms terms = terms_for(*engine);
    terms.resume_after = last_event_;
    if (with_result)
        terms.prefill_result = kept_.place;
    decode_call_ = upstream::call::start(
        owner_.pool, {engine->id, engine->where}, call_for(terms), {},
        {[this](const http1::response_head& head) {
             const answer_terms seen = owner_.protocol.read_answer(head);
             return seen.request_id == request_.terms.id ||
                    (seen.request_id.empty() && seen.not_executed);
         },
         [this](http1::response_head& head) { on_decode_head(head); },
         [this](std::string_view piece) { on_decode_body(piece); },
         [this] { on_decode_done(); },
         [this](upstream::call_failure why) { on_decode_failure(why); }});
    watch_silence();
}

void generation_exchange::watch_silence() {
    const base::milliseconds patience =
        last_event_ ? next_event_patience : first_event_patience;
    silence_timer_.start(patience, [this] { on_decode_silence(); });
}

void generation_exchange::on_decode_head(http1::response_head& head) {
    answer_ = head;
    answer_terms_ = owner_.protocol.read_answer(head);
    streaming_ = is_success(head.status) && answer_terms_.sealed &&
                 !answer_terms_.encoded;
    if (!streaming_)
        return;
    // The engine has taken the result over.
    kept_ = {};
    raise(base::verdict::ran);
}

void generation_exchange::on_decode_body(std::string_view piece) {
    if (!streaming_) {
        if (failure_body_.size() < most_failure_bytes)
            failure_body_.append(piece);
        return;
    }
    watch_silence();
    pass_on(traffic::push(splitter_, piece));
}

void generation_exchange::pass_on(const std::string& events) {
    if (events.empty())
        return;
    if (const auto id = traffic::last_event_id(events))
        last_event_ = id;
    if (!head_sent_) {
        head_sent_ = true;
        note_first_byte();
        http1::response_head head = answer_;
        http1::erase_hop_fields(head.fields);
        sink_.begin(std::move(head));
    }
    sink_.data(events);
    if (sink_.congested() && decode_call_ != nullptr) {
        silence_timer_.stop();
        decode_call_->pause();
    }
}

void generation_exchange::drained() {
    if (decode_call_ == nullptr)
        return;
    decode_call_->resume();
    watch_silence();
}

void generation_exchange::on_decode_done() {
    silence_timer_.stop();
    if (streaming_) {
        // Whatever follows the last event belongs to the body all the same.
        pass_on(splitter_.rest);
        splitter_.rest.clear();
        note_result(
            owner_, decode_server_, traffic::call_result::good,
            request_.terms.id);
        note_demand();
        decode_call_.reset();
        release_decode();
        if (head_sent_)
            end_answer("answered");
        else
            answer_whole(std::move(answer_), {});
        return;
    }
    decode_call_.reset();
    if (answer_terms_.not_executed || answer_.status == status_misdirected) {
        after_rejected_decode();
        return;
    }
    raise(base::verdict::ran);
    if (may_resume()) {
        go_on_elsewhere(traffic::call_result::failed, "decode_failed");
        return;
    }
    note_result(
        owner_, decode_server_, traffic::call_result::failed,
        request_.terms.id);
    release_decode();
    if (head_sent_)
        break_answer("decode_failed");
    else if (is_success(answer_.status) || answer_terms_.encoded)
        give_up("bad_answer");
    else
        answer_whole(std::move(answer_), std::move(failure_body_));
}

void generation_exchange::note_demand() {
    const auto memory = static_cast<double>(service_.engine->memory_tokens);
    if (memory <= 0.0)
        return;
    traffic::note_decode(
        owner_.state.demands[service_.name], decode_reserved_ / memory,
        std::chrono::duration_cast<base::milliseconds>(
            owner_.loop.now() - decode_started_));
}

void generation_exchange::after_rejected_decode() {
    --runs_;
    ++rejected_;
    const bool misdirected = answer_.status == status_misdirected;
    note_result(
        owner_, decode_server_,
        misdirected ? traffic::call_result::misdirected
                    : traffic::call_result::rejected,
        request_.terms.id);
    owner_.log.write(
        "decode_rejected", {{"request", request_.terms.id},
                            {"server", decode_server_},
                            {"status", std::int64_t{answer_.status}},
                            {"says", failure_body_},
                            {"prefilled_by", kept_.server},
                            {"rejections", std::int64_t{rejected_}},
                            {"after_ms", since_arrival().count()}});
    release_decode();
    if (rejected_ > most_rejections) {
        if (head_sent_)
            break_answer("decode_rejected");
        else
            give_up("decode_rejected");
        return;
    }
    owner_.metrics.count_repeat("decode_rejected");
    // A second rejection points at the result rather than at the engines.
    if (rejected_ > 1)
        drop_result();
    place();
}

void generation_exchange::on_decode_failure(upstream::call_failure why) {
    silence_timer_.stop();
    decode_call_.reset();
    if (why == upstream::call_failure::unreachable) {
        --runs_;
        --sends_;
        --arrivals_;
        note_result(
            owner_, decode_server_, traffic::call_result::unreachable,
            request_.terms.id);
        release_decode();
        if (++unreachable_ > most_unreachable)
            wait_for_room();
        else
            place();
        return;
    }
    raise(base::verdict::may_have_run);
    go_on_elsewhere(traffic::call_result::failed, "decode_broke_off");
}

void generation_exchange::on_decode_silence() {
    if (!may_resume()) {
        note_result(
            owner_, decode_server_, traffic::call_result::silent,
            request_.terms.id);
        return;
    }
    raise(base::verdict::may_have_run);
    // The engine drops the request when its connection closes.
    decode_call_.reset();
    go_on_elsewhere(traffic::call_result::silent, "decode_silent");
}

bool generation_exchange::may_resume() const {
    return route_.resumable && runs_ < route_.most_attempts;
}

void generation_exchange::go_on_elsewhere(
    traffic::call_result result, std::string_view reason) {
    note_result(owner_, decode_server_, result, request_.terms.id);
    release_decode();
    if (!may_resume()) {
        if (head_sent_)
            break_answer(reason);
        else
            give_up(reason);
        return;
    }
    owner_.log.write(
        "resumed",
        {{"request", request_.terms.id},
         {"reason", reason},
         {"last_event", static_cast<std::int64_t>(last_event_.value_or(0))},
         {"after_ms", since_arrival().count()}});
    owner_.metrics.count_repeat(reason);
    prefill_tried_.clear();
    place();
}

void generation_exchange::drop_result() {
    if (kept_.server.empty())
        return;
    const traffic::server* engine =
        traffic::find(owner_.state.servers, kept_.server);
    const kept_result dropped = std::move(kept_);
    kept_ = {};
    owner_.log.write(
        "result_dropped", {{"request", request_.terms.id},
                           {"server", dropped.server},
                           {"handle", dropped.handle}});
    if (engine != nullptr)
        owner_.releases.add(*engine, dropped.handle);
}

} // namespace mintknot::relay
