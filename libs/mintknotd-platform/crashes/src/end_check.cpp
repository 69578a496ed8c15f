#include "end_check.hpp"

#include <utility>

namespace mintknot::crashes {

namespace {

constexpr int failures_to_end = 2;
constexpr base::milliseconds pause{150};
/// Beyond it the server is taken for silent.
constexpr base::milliseconds answer_time{300};

} // namespace

end_check::end_check(
    event::loop& owner, upstream::connection_pool& pool,
    upstream::target server)
    : owner_(owner)
    , pool_(pool)
    , server_(std::move(server))
    , timer_(owner) {}

void end_check::start(
    http1::request_head request, std::function<void(end_verdict)> then) {
    request_ = std::move(request);
    then_ = std::move(then);
    failures_ = 0;
    call();
}

void end_check::call() {
    upstream::call_options options;
    options.on_new_connection = true;
    timer_.start(answer_time, [this] { finish(end_verdict::unknown); });
    call_ = upstream::call::start(
        pool_, server_, {request_, nullptr}, options,
        {nullptr, [this](http1::response_head&) { finish(end_verdict::alive); },
         [](std::string_view) {}, [] {},
         [this](upstream::call_failure why) { on_failure(why); }});
}

void end_check::on_failure(upstream::call_failure why) {
    if (why == upstream::call_failure::unreachable) {
        finish(end_verdict::unknown);
        return;
    }
    if (why == upstream::call_failure::bad_answer) {
        finish(end_verdict::alive);
        return;
    }
    if (++failures_ == failures_to_end) {
        finish(end_verdict::ended);
        return;
    }
    timer_.start(pause, [this] { call(); });
}

void end_check::finish(end_verdict found) {
    timer_.stop();
    call_.reset();
    // The handler may destroy this object.
    const auto then = std::exchange(then_, nullptr);
    if (then)
        then(found);
}

} // namespace mintknot::crashes
