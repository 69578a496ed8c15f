/// @file
/// Reading of requests from a caller's connection.

#include "caller_session.hpp"
#include "pipeline_bounds.hpp"

#include <mintknot/http1/serialize.hpp>
#include <mintknot/relay/load_shedder.hpp>

#include <utility>

namespace mintknot::relay {

namespace {

/// Time allowed for a body, in addition to the time for the head.
constexpr base::milliseconds body_timeout{20000};

} // namespace

caller_session::caller_session(
    router_context& context, event::connection_ptr link, session_owner owner)
    : context_(context)
    , link_(std::move(link))
    , owner_(std::move(owner))
    , claim_(context.state.caller_bytes)
    , timer_(context.loop) {}

caller_session::~caller_session() = default;

void caller_session::start() {
    next_request();
    link_->set_handlers(
        {[self = shared_from_this()](std::string_view bytes) {
             self->on_data(bytes);
         },
         [self = shared_from_this()](event::connection_end how) {
             self->on_end(how);
         },
         [self = shared_from_this()] { self->on_drained(); }});
}

void caller_session::on_drained() {
    update_claim();
    if (exchange_ != nullptr)
        exchange_->on_sink_writable();
    else if (std::exchange(answers_unread_, false))
        read_on();
}

bool caller_session::idle() const noexcept {
    return !answering_ && pending_.empty() && !head_seen_;
}

traffic::caller_limits caller_session::limits() const {
    return context_.state.config == nullptr ? traffic::caller_limits{}
                                            : context_.state.config->limits;
}

void caller_session::next_request() {
    const traffic::caller_limits bounds = limits();
    parser_ = std::make_unique<http1::request_parser>(
        http1::message_limits{bounds.header_bytes, bounds.body_bytes});
    head_seen_ = false;
    head_bytes_ = 0;
    update_claim();
    arm_idle_timer();
}

void caller_session::arm_idle_timer() {
    idle_since_ = context_.loop.now();
    // Slightly longer than the idle timeout that callers rely on.
    const base::milliseconds time = limits().idle_timeout * 11 / 10;
    timer_.start(time, [this] { close(); });
}

void caller_session::arm_request_timer() {
    timer_.start(limits().header_timeout, [this] {
        if (head_seen_) {
            timer_.start(body_timeout, [this] {
                refuse(408, "body_too_slow", std::nullopt);
            });
            return;
        }
        refuse(408, "header_too_slow", std::nullopt);
    });
}

void caller_session::begin_request() {
    request_began_ = context_.loop.now();
    progress_ = {};
    arm_request_timer();
}

void caller_session::on_data(std::string_view bytes) {
    if (closed_)
        return;
    if (idle() && !answers_unread_)
        begin_request();
    policy::note_transfer(progress_, bytes.size(), context_.loop.now());
    if (answering_ || answers_unread_) {
        pending_.append(bytes);
        if (pending_.size() > max_pending_bytes)
            link_->pause_reading();
        update_claim();
        return;
    }
    if (pending_.empty()) {
        parse(bytes);
        return;
    }
    pending_.append(bytes);
    parse_pending();
}

void caller_session::parse_pending() {
    const std::string received = std::exchange(pending_, std::string{});
    parse(received);
}

void caller_session::parse(std::string_view received) {
    while (!received.empty()) {
        const std::size_t used = parser_->put(
            received, [this](std::string_view piece) { body_.append(piece); });
        received.remove_prefix(used);
        if (parser_->error() != http1::parse_error::none) {
            refuse_bad_request();
            return;
        }
        if (!head_seen_ && parser_->has_head())
            on_head();
        if (parser_->done() || used == 0)
            break;
    }
    pending_.assign(received);
    if (claim_memory() && parser_->done())
        on_request();
}

void caller_session::on_head() {
    head_seen_ = true;
    const http1::request_head& head = parser_->head();
    head_bytes_ = head.target.size() + http1::held_bytes(head.fields);
    request_keep_alive_ = head.keep_alive;
    minor_version_ = head.minor_version;
    if (head.expects_continue && !parser_->done())
        link_->write("HTTP/1.1 100 Continue\r\n\r\n");
}

void caller_session::refuse_bad_request() {
    switch (parser_->error()) {
    case http1::parse_error::header_too_large:
        refuse(431, "header_too_large", std::nullopt);
        return;
    case http1::parse_error::body_too_large:
        refuse(413, "body_too_large", std::nullopt);
        return;
    default:
        refuse(400, "malformed_request", std::nullopt);
    }
}

void caller_session::refuse(
    int status, std::string_view reason,
    std::optional<base::milliseconds> retry_after) {
    if (closed_)
        return;
    const std::string id = current_request_id();
    context_.log.write(
        "refused", {{"request", id},
                    {"reason", reason},
                    {"status", std::int64_t{status}},
                    {"caller", base::to_string(link_->peer())}});
    context_.metrics.count_request({"", std::string(reason), {}, {}});
    link_->write(
        serialize_refusal(context_, status, id, reason, retry_after, false));
    close();
}

std::string caller_session::current_request_id() const {
    if (answering_)
        return request_id_;
    return parser_->has_head()
               ? context_.protocol.read_request(parser_->head()).id
               : std::string{};
}

void caller_session::on_request() {
    context_.monitor.note_activity();
    timer_.stop();
    answering_ = true;
    set_large_buffer(false);
    caller_request request;
    request.head = std::move(parser_->head());
    request.terms = context_.protocol.read_request(request.head);
    request.arrived = request_began_;
    request_id_ = request.terms.id;
    const auto config = context_.state.config;
    const std::string* host = http1::find_field(request.head.fields, "Host");
    const policy::entry_decision decision = policy::check_entry(
        entry_conditions(config.get()),
        {host == nullptr ? std::string_view{} : *host, request.head.target,
         request.terms.key, request.terms.deadline,
         std::chrono::duration_cast<base::milliseconds>(
             context_.loop.now() - request_began_)},
        context_.draw_uniform());
    if (decision.service == nullptr) {
        refuse_request(request, decision);
        return;
    }
    answered_bytes_ = body_.size();
    if (!body_.empty())
        request.body = std::make_shared<const std::string>(
            std::exchange(body_, std::string{}));
    request.organisation = decision.organisation;
    exchange_ = make_exchange(
        context_, *this, std::move(request), config, *decision.route,
        *decision.service);
    exchange_->start();
}

policy::entry_conditions
caller_session::entry_conditions(const traffic::configuration* config) const {
    policy::entry_conditions conditions;
    conditions.config = config;
    conditions.stopping = context_.state.stopping;
    conditions.since_stop = std::chrono::duration_cast<base::milliseconds>(
        context_.loop.now() - context_.state.stop_began);
    conditions.grace = context_.state.grace;
    conditions.freshness = configuration_freshness_of(context_);
    return conditions;
}

void caller_session::refuse_request(
    const caller_request& request, const policy::entry_decision& decision) {
    context_.log.write(
        "refused", {{"request", request.terms.id},
                    {"reason", decision.reason},
                    {"status", std::int64_t{decision.status}},
                    {"target", request.head.target}});
    context_.metrics.count_request({"", std::string(decision.reason), {}, {}});
    body_ = {};
    request_keep_alive_ = keep_alive();
    link_->write(serialize_refusal(
        context_, decision.status, request.terms.id, decision.reason,
        decision.retry_after, request_keep_alive_));
    answer_done();
}

bool caller_session::keep_alive() {
    return request_keep_alive_ && !context_.state.stopping &&
           (context_.shedder == nullptr ||
            !context_.shedder->ends_connection());
}

void caller_session::answer_done() {
    answered_bytes_ = 0;
    ++answered_;
    progress_ = {};
    policy::note_transfer(
        progress_, link_->queued_bytes(), context_.loop.now());
    if (!request_keep_alive_ || context_.state.stopping) {
        if (!pending_.empty())
            record_close(close_reason::behind_answer);
        close();
        return;
    }
    // The exchange is still on the call stack, so it is destroyed later.
    context_.loop.post([self = shared_from_this()] {
        self->exchange_.reset();
        if (self->closed_)
            return;
        self->answering_ = false;
        self->next_request();
        self->answers_unread_ = self->link_->queued_bytes() > max_unread_bytes;
        if (!self->answers_unread_)
            self->read_on();
    });
}

void caller_session::read_on() {
    if (!closed_ && !pending_.empty()) {
        begin_request();
        parse_pending();
    }
    if (!closed_ && pending_.size() <= max_pending_bytes)
        link_->resume_reading();
}

} // namespace mintknot::relay
