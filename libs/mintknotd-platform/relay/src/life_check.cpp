#include "life_check.hpp"

#include <utility>

namespace mintknot::relay {

namespace {

/// A report needs no slot, so that a sound engine answers at once.
constexpr base::milliseconds answer_timeout{300};
const upstream::call_options answer_bounds{.answer_body_bytes = 64 * 1024};

} // namespace

life_check::life_check(
    event::loop& owner, upstream::connection_pool& pool,
    const dialect& protocol, const traffic::server& row)
    : pool_(pool)
    , protocol_(protocol)
    , row_(row)
    , timer_(owner) {}

void life_check::start(std::function<void(bool same)> then) {
    then_ = std::move(then);
    timer_.start(answer_timeout, [this] { finish(false); });
    call_ = upstream::call::start(
        pool_, {row_.id, row_.where, {}},
        {protocol_.report_request(row_.id), nullptr}, answer_bounds,
        {[this](const http1::response_head& head) {
             return answers_own_call(protocol_, head);
         },
         [](http1::response_head&) {},
         [this](std::string_view piece) { body_.append(piece); },
         [this] { on_report(); },
         [this](upstream::call_failure) { finish(false); }});
}

void life_check::on_report() {
    const std::optional<engine_report> report = protocol_.read_report(body_);
    finish(report && report->born == row_.born);
}

void life_check::finish(bool same) {
    timer_.stop();
    call_.reset();
    // The handler may destroy this object.
    const auto then = std::exchange(then_, nullptr);
    if (then)
        then(same);
}

} // namespace mintknot::relay
