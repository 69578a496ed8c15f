#include <mintknot/relay/exchange.hpp>

#include <algorithm>

namespace mintknot::relay {

namespace {

constexpr std::string_view no_capacity = "no_capacity";
/// Values of `return_plan` in `return_told`.
constexpr std::string_view promised_plan = "promised";
constexpr std::string_view final_plan = "final";
constexpr std::string_view unplanned_plan = "unplanned";

} // namespace

base::milliseconds exchange::caller_time_left() const {
    if (!request_.terms.deadline)
        return time_left();
    return std::max(
        base::milliseconds{0}, *request_.terms.deadline - since_arrival());
}

refused_request
exchange::describe_refused(const wanted_capacity& wanted) const {
    refused_request refused;
    refused.service = service_.name;
    refused.claim = claim(false, false).value_or(policy::capacity_claim{});
    // Without a deadline it is not known whether the caller obeys a time.
    refused.claim.digest = request_.terms.deadline ? digest() : 0;
    refused.claim.deadline_left = caller_time_left();
    refused.cost = wanted.cost;
    refused.earliest = wanted.expected_wait.value_or(base::milliseconds{0});
    return refused;
}

void exchange::refuse_for_capacity(const wanted_capacity& wanted) {
    if (finished_)
        return;
    const auto limited = limited_retry_after(context_, service_.name);
    if (!context_.state.capacity_sharing) {
        give_up(
            no_capacity,
            limited ? *limited
                    : policy::schedule_retry_after(
                          context_.state.retry_after_schedules[service_.name],
                          {wanted.forecast, wanted.expected_wait, wanted.cost,
                           context_.state.instances},
                          context_.loop.now()));
        return;
    }
    if (verdict_ != base::verdict::not_run || limited) {
        give_up(
            no_capacity, policy::bounded_retry_after(
                             limited.value_or(policy::default_retry_after),
                             caller_time_left()));
        return;
    }
    cancel_calls();
    const refused_request refused = describe_refused(wanted);
    if (context_.returns == nullptr || !context_.returns->active()) {
        on_planned_return(
            {plan_return_here(context_, {}, false, refused), {}}, refused,
            wanted.forecast);
        return;
    }
    return_ticket_ = context_.returns->request_return(
        refused, [this, refused,
                  forecast = wanted.forecast](const planned_return& planned) {
            on_planned_return(planned, refused, forecast);
        });
}

void exchange::on_planned_return(
    const planned_return& planned, const refused_request& refused,
    const policy::capacity_forecast& forecast) {
    // The answer may have taken a part of the caller's time.
    refused_request present = refused;
    present.claim.deadline_left = caller_time_left();
    const base::milliseconds left = present.claim.deadline_left;
    base::milliseconds retry_after{0};
    std::string_view plan;
    switch (planned.decision.kind) {
    case policy::return_kind::promised:
        plan = promised_plan;
        retry_after = std::min(
            planned.decision.retry_after, policy::longest_obeyed(left));
        break;
    case policy::return_kind::refused:
        plan = final_plan;
        retry_after = left;
        break;
    case policy::return_kind::unknown:
        plan = unplanned_plan;
        retry_after = unplanned_return(context_, present, forecast);
        break;
    }
    context_.metrics.count_return(plan);
    context_.log.write(
        "return_told", {{"request", request_.terms.id},
                        {"return_plan", plan},
                        {"planned_by", planned.planned_by},
                        {"come_back_ms", retry_after.count()},
                        {"left_ms", left.count()}});
    give_up(no_capacity, retry_after);
}

void exchange::give_up_out_of_reach(std::string_view reason) {
    const base::milliseconds retry_after =
        outage_retry_after(context_, service_.name);
    give_up(
        reason,
        context_.state.capacity_sharing
            ? policy::bounded_retry_after(retry_after, caller_time_left())
            : retry_after);
}

} // namespace mintknot::relay
