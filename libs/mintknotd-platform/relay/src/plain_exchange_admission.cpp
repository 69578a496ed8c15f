#include "plain_exchange.hpp"

namespace mintknot::relay {

namespace {

/// Logged for a time that is not known.
constexpr base::milliseconds unknown_time{-1};
constexpr std::int64_t unknown_count = -1;

/// What a decision rested on, for log lines.
struct decision_fields {
    explicit decision_fields(const std::optional<policy::plain_forecast>& of) {
        if (!of)
            return;
        calls_ahead = of->calls_ahead;
        service_ms = of->service.count();
        service_age_ms = of->service_age.value_or(unknown_time).count();
    }
    std::int64_t calls_ahead = unknown_count;
    std::int64_t service_ms = unknown_time.count();
    std::int64_t service_age_ms = unknown_time.count();
};

} // namespace

void plain_exchange::log_sent(const policy::placement& placed) const {
    const decision_fields basis(forecast_);
    context_.log.write(
        "sent", {{"request", request_.terms.id},
                 {"route", route_.name},
                 {"server", server_},
                 {"placed_by", placed.scheduler_host},
                 {"send", std::int64_t{sends_}},
                 {"servers_age_ms", server_table_age_ms(context_)},
                 {"calls_ahead", basis.calls_ahead},
                 {"service_ms", basis.service_ms},
                 {"service_age_ms", basis.service_age_ms},
                 {"config", static_cast<std::int64_t>(config_->version)},
                 {"left_ms", time_left().count()}});
}

void plain_exchange::on_no_server(const policy::placement& placed) {
    record_decision(placed);
    if (placed.denial == policy::capacity_denial::none ||
        verdict_ != base::verdict::not_run) {
        apply_step(next_step(policy::call_end::no_server));
        return;
    }
    log_denial(placed);
    refuse_for_capacity({1.0, placed.capacity.forecast, placed.expected_wait});
}

void plain_exchange::record_decision(const policy::placement& placed) {
    forecast_ = placed.plain;
    if (!context_.state.capacity_sharing)
        return;
    context_.metrics.count_plain_decision(placed.denial);
    if (placed.plain)
        context_.metrics.observe_plain_service(placed.plain->service);
}

void plain_exchange::log_denial(const policy::placement& placed) const {
    const decision_fields basis(placed.plain);
    context_.log.write(
        "no_room", {{"request", request_.terms.id},
                    {"route", route_.name},
                    {"denial", policy::to_string(placed.denial)},
                    {"priority", std::int64_t{priority()}},
                    {"calls_ahead", basis.calls_ahead},
                    {"service_ms", basis.service_ms},
                    {"service_age_ms", basis.service_age_ms},
                    {"expected_wait_ms",
                     placed.expected_wait.value_or(unknown_time).count()},
                    {"decided_by", placed.scheduler_host},
                    {"waited_ms", since_arrival().count()}});
}

void plain_exchange::record_service_time() {
    const traffic::server* server =
        traffic::find(context_.state.servers, server_);
    if (!context_.state.capacity_sharing || !forecast_ || server == nullptr)
        return;
    const base::steady_time now = context_.loop.now();
    policy::note_call_time(
        context_.state.plain_times, server_,
        std::chrono::duration_cast<base::milliseconds>(now - sent_at_),
        forecast_->calls_ahead, server->slots, now);
}

} // namespace mintknot::relay
