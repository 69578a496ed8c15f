#include <mintknot/relay/return_planner.hpp>

#include <mintknot/relay/router_state.hpp>

#include <fmt/format.h>

#include <cstdint>

namespace mintknot::relay {

namespace {

std::string_view to_string(policy::return_kind kind) {
    switch (kind) {
    case policy::return_kind::promised:
        return "promised";
    case policy::return_kind::refused:
        return "final";
    default:
        return "unknown";
    }
}

policy::placement_query
query_of(const traffic::service& service, const refused_request& refused) {
    policy::placement_query query;
    query.service = service.name;
    query.kind = service.engine ? policy::placement_kind::decode
                                : policy::placement_kind::plain;
    query.memory_tokens = refused.cost;
    query.claim = refused.claim;
    return query;
}

void log_plan(
    router_context& context, const std::string& data_centre,
    const refused_request& refused, const policy::return_schedule& schedule,
    const policy::return_decision& decision) {
    context.log.write(
        "return_planned",
        {{"service", refused.service},
         {"data_centre", data_centre},
         {"digest", fmt::format("{:016x}", refused.claim.digest)},
         {"priority", std::int64_t{refused.claim.priority}},
         {"cost", refused.cost},
         {"decision", to_string(decision.kind)},
         {"come_back_ms", decision.retry_after.count()},
         {"left_ms", refused.claim.deadline_left.count()},
         {"earliest_ms", refused.earliest.count()},
         {"pace", decision.pace},
         {"first_tries", decision.first_tries},
         {"shortage_left_ms", decision.shortage_left.count()},
         {"promises", static_cast<std::int64_t>(schedule.promises.size())}});
}

} // namespace

policy::return_decision plan_return_here(
    router_context& context, const std::string& data_centre, bool is_scheduler,
    const refused_request& refused) {
    if (context.state.config == nullptr || !context.state.capacity_sharing)
        return {};
    const auto& services = context.state.config->services;
    const auto service = services.find(refused.service);
    if (service == services.end())
        return {};
    policy::selection_inputs inputs =
        make_selection_inputs(context, service->second);
    inputs.only_data_centre = data_centre;
    inputs.all_loads_known = is_scheduler;
    policy::domain_admission_state* state = admission_of(context, inputs);
    if (state == nullptr)
        return {};
    const policy::return_decision decision = policy::plan_return(
        *state, inputs, query_of(service->second, refused), refused.earliest);
    log_plan(context, data_centre, refused, state->returns, decision);
    return decision;
}

base::milliseconds unplanned_return(
    router_context& context, const refused_request& refused,
    const policy::capacity_forecast& forecast) {
    return policy::bounded_retry_after(
        policy::schedule_retry_after(
            context.state.retry_after_schedules[refused.service],
            {forecast, refused.earliest, refused.cost, context.state.instances},
            context.loop.now()),
        refused.claim.deadline_left);
}

void observe_returns(router_context& context) {
    std::uint64_t promised = 0;
    std::uint64_t served = 0;
    std::uint64_t lapsed = 0;
    std::size_t standing = 0;
    for (const auto& [domain, state] : context.state.admissions) {
        promised += state.returns.promised;
        served += state.returns.served;
        lapsed += state.returns.lapsed;
        standing += state.returns.promises.size();
    }
    context.metrics.set_gauge(
        "returns_promised", static_cast<double>(promised));
    context.metrics.set_gauge("returns_served", static_cast<double>(served));
    context.metrics.set_gauge("returns_lapsed", static_cast<double>(lapsed));
    context.metrics.set_gauge(
        "returns_standing", static_cast<double>(standing));
}

} // namespace mintknot::relay
