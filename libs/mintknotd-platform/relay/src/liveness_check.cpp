#include <mintknot/relay/liveness_check.hpp>

#include "answer_status.hpp"

#include <utility>

namespace mintknot::relay {

namespace {

constexpr int max_failures = 2;
constexpr base::milliseconds retry_delay{150};

} // namespace

liveness_check::liveness_check(
    event::loop& owner, upstream::connection_pool& pool,
    upstream::target server)
    : owner_(owner)
    , pool_(pool)
    , server_(std::move(server))
    , timer_(owner) {}

liveness_check::~liveness_check() = default;

void liveness_check::start(
    std::optional<http1::request_head> request, first_connection first,
    std::function<void(liveness_verdict)> then, base::milliseconds timeout) {
    request_ = std::move(request);
    then_ = std::move(then);
    timeout_ = timeout;
    failures_ = 0;
    start_attempt(first == first_connection::fresh);
}

void liveness_check::start_attempt(bool on_new_connection) {
    timer_.start(timeout_, [this] { finish(liveness_verdict::unknown); });
    if (request_)
        start_call(on_new_connection);
    else
        start_connection();
}

void liveness_check::start_call(bool on_new_connection) {
    upstream::call_options options;
    options.on_new_connection = on_new_connection;
    call_ = upstream::call::start(
        pool_, server_, {*request_, nullptr}, options,
        {nullptr,
         [this](http1::response_head& head) {
             finish(
                 head.status == status_misdirected ? liveness_verdict::ended
                                                   : liveness_verdict::alive);
         },
         [](std::string_view) {}, [] {},
         [this](upstream::call_failure why) { on_failure(why); }});
}

void liveness_check::start_connection() {
    attempt_ = std::make_shared<bool>();
    pool_.connect(
        server_, upstream::call_options{}.connect_timeout,
        [this, attempt = std::weak_ptr<bool>(attempt_)](
            upstream::connect_outcome outcome) {
            if (attempt.lock() != nullptr)
                on_connected(std::move(outcome));
            else if (outcome.link != nullptr)
                outcome.link->close();
        });
}

void liveness_check::on_connected(upstream::connect_outcome outcome) {
    if (outcome.link == nullptr) {
        on_failure(
            outcome.result == event::connect_result::refused
                ? upstream::call_failure::refused
                : upstream::call_failure::unreachable);
        return;
    }
    if (outcome.tunnelled)
        outcome.link->close();
    else
        pool_.give(
            server_.id, std::move(outcome.link), upstream::default_idle_time);
    finish(liveness_verdict::alive);
}

void liveness_check::on_failure(upstream::call_failure why) {
    if (why == upstream::call_failure::unreachable) {
        finish(liveness_verdict::unknown);
        return;
    }
    if (why == upstream::call_failure::bad_answer) {
        finish(liveness_verdict::alive);
        return;
    }
    if (++failures_ == max_failures) {
        finish(liveness_verdict::ended);
        return;
    }
    timer_.start(retry_delay, [this] { start_attempt(true); });
}

void liveness_check::finish(liveness_verdict found) {
    timer_.stop();
    call_.reset();
    attempt_.reset();
    // The handler may destroy this object.
    const auto then = std::exchange(then_, nullptr);
    if (then)
        then(found);
}

} // namespace mintknot::relay
