#include <mintknot/entry/request_runner.hpp>

#include "request_run.hpp"

#include <mintknot/base/log.hpp>

#include <fmt/format.h>

namespace mintknot::entry {

namespace {

base::microseconds micros(base::steady_clock::duration value) {
    return std::chrono::duration_cast<base::microseconds>(value);
}

} // namespace

request_runner::request_runner(runner_parts parts, runner_options options)
    : parts_(std::move(parts))
    , options_(std::move(options)) {}

request_runner::~request_runner() = default;

void request_runner::run(live_request& request) {
    earn_retry(request.call());
    request_run(*this, request).run();
    note_end(request);
}

void request_runner::earn_retry(const completion_call& call) {
    const std::lock_guard lock(mutex_);
    routing::earn(budgets_[call.class_name], call.request_class.retry_percent);
}

bool request_runner::spend_retry(const completion_call& call) {
    const std::lock_guard lock(mutex_);
    return routing::spend(budgets_[call.class_name]);
}

void request_runner::note_end(const live_request& request) {
    const request_state state = request.summary();
    const completion_call& call = request.call();
    metrics::finished_request finished;
    finished.request_class = call.class_name;
    finished.organisation = call.organisation;
    finished.code = state.failed ? state.failed->code : base::reason::none;
    finished.tokens = request.tokens();
    if (finished.tokens > 0)
        finished.first_token = micros(state.first_token_at - state.received_at);
    if (finished.tokens > 1)
        finished.per_token = micros(state.finished_at - state.first_token_at) /
                             (finished.tokens - 1);
    finished.met_targets =
        !state.failed &&
        finished.first_token <= call.request_class.first_token &&
        finished.per_token <= call.request_class.per_token;
    parts_.metrics.add(finished);

    if (state.failed)
        base::logger("request").warning(
            "Ended with {} ({}): {}. [{}]", base::to_string(finished.code),
            base::to_string(state.run), state.failed->sentence, request.id());

    audit::decision record;
    record.request = request.id();
    record.kind = audit::decision_kind::finish;
    record.code = finished.code;
    record.sentence = fmt::format(
        "{}: {} tokens, first after {:.1f} ms, then {:.2f} ms per token; "
        "verdict {}{}",
        state.failed ? "ended without a whole answer" : "answered whole",
        finished.tokens,
        static_cast<double>(finished.first_token.count()) / 1000.0,
        static_cast<double>(finished.per_token.count()) / 1000.0,
        base::to_string(state.run),
        state.failed ? "; " + state.failed->sentence : std::string{});
    parts_.decisions.record(std::move(record));
}

} // namespace mintknot::entry
