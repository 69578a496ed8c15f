#include <mintknot/policy/entry_check.hpp>

#include <mintknot/policy/drain.hpp>
#include <mintknot/policy/retry_after.hpp>

namespace mintknot::policy {

namespace {

constexpr int status_unauthorized = 401;
constexpr int status_not_found = 404;
constexpr int status_unavailable = 503;

entry_decision refuse_for_now(std::string_view reason) {
    entry_decision refused;
    refused.status = status_unavailable;
    refused.reason = reason;
    refused.retry_after = entry_refusal_retry_after;
    return refused;
}

entry_decision refuse_for_good(int status, std::string_view reason) {
    entry_decision refused;
    refused.status = status;
    refused.reason = reason;
    return refused;
}

} // namespace

entry_decision check_entry(
    const entry_conditions& conditions, const entry_request& request,
    double draw) {
    if (conditions.config == nullptr)
        return refuse_for_now("no_configuration");
    const traffic::configuration& config = *conditions.config;
    const traffic::route* route =
        traffic::find_route(config, request.host, request.target);
    if (route == nullptr)
        return refuse_for_good(status_not_found, "no_route");
    const access_decision let_in = check_access(
        config.organisations.get(), route->open_to_all, request.key,
        conditions.known);
    if (let_in.what == access_verdict::old_knowledge)
        return refuse_for_now("old_knowledge");
    if (let_in.what == access_verdict::unknown_key)
        return refuse_for_good(status_unauthorized, "unknown_key");
    if (conditions.stopping &&
        !may_start_while_draining(
            *route, conditions.since_stop, conditions.grace))
        return refuse_for_now("stopping");
    if (conditions.open_body_bytes > conditions.max_body_bytes)
        return refuse_for_now("memory_full");
    const auto service =
        config.services.find(traffic::choose_service(*route, draw));
    if (service == config.services.end())
        return refuse_for_now("unknown_service");
    entry_decision begins;
    begins.route = route;
    begins.service = &service->second;
    begins.organisation = let_in.organisation;
    return begins;
}

} // namespace mintknot::policy
