#include <mintknot/policy/entry_check.hpp>

#include <mintknot/policy/drain.hpp>
#include <mintknot/policy/retry_after.hpp>

#include <algorithm>

namespace mintknot::policy {

namespace {

constexpr int status_unauthorized = 401;
constexpr int status_not_found = 404;
constexpr int status_unavailable = 503;

entry_decision refuse_with_retry(std::string_view reason) {
    entry_decision refused;
    refused.status = status_unavailable;
    refused.reason = reason;
    refused.retry_after = entry_refusal_retry_after;
    return refused;
}

entry_decision refuse_without_retry(int status, std::string_view reason) {
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
        return refuse_with_retry("no_configuration");
    const traffic::configuration& config = *conditions.config;
    const traffic::route* route =
        traffic::find_route(config, request.host, request.target);
    if (route == nullptr)
        return refuse_without_retry(status_not_found, "no_route");
    const access_decision access = check_access(
        config.organisations.get(), route->open_to_all, request.key,
        conditions.freshness);
    if (access.what == access_verdict::stale_configuration)
        return refuse_with_retry("old_knowledge");
    if (access.what == access_verdict::unknown_key)
        return refuse_without_retry(status_unauthorized, "unknown_key");
    if (conditions.stopping &&
        !may_start_while_draining(
            std::min(
                route->timeout, request.deadline.value_or(route->timeout)) -
                request.age,
            conditions.since_stop, conditions.grace))
        return refuse_with_retry("stopping");
    const auto service =
        config.services.find(traffic::choose_service(*route, draw));
    if (service == config.services.end())
        return refuse_with_retry("unknown_service");
    entry_decision accepted;
    accepted.route = route;
    accepted.service = &service->second;
    accepted.organisation = access.organisation;
    return accepted;
}

} // namespace mintknot::policy
