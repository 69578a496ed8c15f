#include <mintknot/relay/liveness_check.hpp>

#include <utility>

namespace mintknot::relay {

namespace {

constexpr int max_failures = 2;
constexpr base::milliseconds retry_delay{150};
/// Without an answer within this time, the verdict is unknown.
constexpr base::milliseconds answer_timeout{300};

} // namespace

liveness_check::liveness_check(
    event::loop& owner, upstream::connection_pool& pool,
    upstream::target server)
    : owner_(owner)
    , pool_(pool)
    , server_(std::move(server))
    , timer_(owner) {}

void liveness_check::start(
    http1::request_head request, first_connection first,
    std::function<void(liveness_verdict)> then) {
    request_ = std::move(request);
    then_ = std::move(then);
    failures_ = 0;
    start_call(first == first_connection::fresh);
}

void liveness_check::start_call(bool on_new_connection) {
    upstream::call_options options;
    options.on_new_connection = on_new_connection;
    timer_.start(answer_timeout, [this] { finish(liveness_verdict::unknown); });
    call_ = upstream::call::start(
        pool_, server_, {request_, nullptr}, options,
        {nullptr,
         [this](http1::response_head&) { finish(liveness_verdict::alive); },
         [](std::string_view) {}, [] {},
         [this](upstream::call_failure why) { on_failure(why); }});
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
    timer_.start(retry_delay, [this] { start_call(true); });
}

void liveness_check::finish(liveness_verdict found) {
    timer_.stop();
    call_.reset();
    // The handler may destroy this object.
    const auto then = std::exchange(then_, nullptr);
    if (then)
        then(found);
}

} // namespace mintknot::relay
