#include <mintknot/policy/entry_check.hpp>

#include <mintknot/policy/drain.hpp>
#include <mintknot/policy/return_time.hpp>

namespace mintknot::policy {

namespace {

constexpr int status_not_found = 404;
constexpr int status_unavailable = 503;

entry_decision refuse_for_now(std::string_view reason) {
    return {
        nullptr, nullptr, status_unavailable, reason,
        return_after_entry_refusal};
}

} // namespace

entry_decision check_entry(
    const entry_conditions& conditions, std::string_view host,
    std::string_view target, double draw) {
    if (conditions.config == nullptr)
        return refuse_for_now("no_configuration");
    const traffic::configuration& config = *conditions.config;
    const traffic::route* route = traffic::find_route(config, host, target);
    if (route == nullptr)
        return {nullptr, nullptr, status_not_found, "no_route", std::nullopt};
    if (conditions.stopping &&
        !may_begin(*route, conditions.since_stop, conditions.grace))
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
    return begins;
}

} // namespace mintknot::policy
