#include <mintknot/policy/entry_check.hpp>

#include <criterion/criterion.h>

using namespace mintknot;
using namespace mintknot::policy;
using base::milliseconds;

namespace {

traffic::configuration one_route() {
    traffic::configuration config;
    traffic::route route;
    route.name = "r";
    route.host = "h";
    route.path_prefix = "/a/";
    route.kind = traffic::route_kind::streaming;
    route.services = {{"s", 1.0}};
    config.routes.push_back(route);
    config.services["s"].name = "s";
    traffic::index(config);
    return config;
}

entry_conditions conditions_of(const traffic::configuration& config) {
    entry_conditions conditions;
    conditions.config = &config;
    conditions.grace = milliseconds{8000};
    return conditions;
}

entry_decision check(const entry_conditions& conditions) {
    return check_entry(conditions, {"h", "/a/b", std::nullopt}, 0.5);
}

} // namespace

Test(entry_check, a_request_is_routed) {
    const traffic::configuration config = one_route();
    const entry_decision decision = check(conditions_of(config));
    cr_assert(decision.route != nullptr && decision.route->name == "r");
    cr_assert(decision.service != nullptr && decision.service->name == "s");
}

Test(entry_check, without_a_configuration_callers_are_told_to_retry) {
    const entry_decision decision = check({});
    cr_assert(decision.service == nullptr);
    cr_assert_eq(decision.status, 503);
    cr_assert(decision.reason == "no_configuration");
    cr_assert(decision.retry_after.has_value());
}

Test(entry_check, a_request_without_a_route_is_not_found) {
    const traffic::configuration config = one_route();
    const entry_decision decision =
        check_entry(conditions_of(config), {"h", "/other", std::nullopt}, 0.5);
    cr_assert_eq(decision.status, 404);
    cr_assert(!decision.retry_after);
}

Test(entry_check, streams_are_refused_late_in_a_stop) {
    const traffic::configuration config = one_route();
    entry_conditions conditions = conditions_of(config);
    conditions.stopping = true;
    cr_assert(check(conditions).service != nullptr);
    conditions.since_stop = milliseconds{5000};
    cr_assert(check(conditions).reason == "stopping");
}

// A plain request counted as over after 1.5 s, whatever its route allows.
Test(entry_check, a_plain_request_that_may_outlast_a_stop_is_refused) {
    traffic::configuration config = one_route();
    config.routes[0].kind = traffic::route_kind::unsafe;
    config.routes[0].timeout = milliseconds{3000};
    traffic::index(config);
    entry_conditions conditions = conditions_of(config);
    conditions.stopping = true;
    for (const auto& [since, accepted] :
         {std::pair{0, true},
          {2500, true},
          {4500, true},
          {4700, false},
          {5500, false},
          {7000, false}}) {
        conditions.since_stop = milliseconds{since};
        cr_assert(
            (check(conditions).service != nullptr) == accepted, "%d", since);
    }
}

Test(entry_check, what_a_caller_waits_for_at_most_decides_during_a_stop) {
    traffic::configuration config = one_route();
    entry_conditions conditions = conditions_of(config);
    conditions.stopping = true;
    conditions.since_stop = milliseconds{6000};
    entry_request request{"h", "/a/b", std::nullopt};
    cr_assert(check_entry(conditions, request, 0.5).service == nullptr);
    request.deadline = milliseconds{2000};
    cr_assert(check_entry(conditions, request, 0.5).service == nullptr);
    // Its body took a second to come.
    request.age = milliseconds{1000};
    cr_assert(check_entry(conditions, request, 0.5).service != nullptr);
}

Test(entry_check, a_route_to_an_unknown_service_is_refused) {
    traffic::configuration config = one_route();
    config.services.clear();
    cr_assert(check(conditions_of(config)).reason == "unknown_service");
}

namespace {

traffic::configuration with_organisations() {
    traffic::configuration config = one_route();
    traffic::organisation_row row;
    row.value.name = "o";
    row.keys = {"key"};
    config.organisations = std::make_shared<const traffic::organisation_table>(
        std::vector<traffic::organisation_row>{row});
    return config;
}

entry_decision check_with(
    const entry_conditions& conditions, const std::optional<std::string>& key) {
    return check_entry(conditions, {"h", "/a/b", key}, 0.5);
}

} // namespace

Test(entry_check, a_key_identifies_the_organisation) {
    const traffic::configuration config = with_organisations();
    const entry_decision decision = check_with(conditions_of(config), "key");
    cr_assert(decision.service != nullptr);
    cr_assert(decision.organisation->name == "o");
}

Test(entry_check, an_unknown_key_is_refused_without_retry) {
    const traffic::configuration config = with_organisations();
    for (const auto& key : {std::optional<std::string>{}, {"other"}}) {
        const entry_decision decision = check_with(conditions_of(config), key);
        cr_assert_eq(decision.status, 401);
        cr_assert(decision.service == nullptr);
        cr_assert(!decision.retry_after);
    }
}

Test(entry_check, a_stale_configuration_is_refused_with_retry) {
    const traffic::configuration config = with_organisations();
    entry_conditions conditions = conditions_of(config);
    conditions.freshness = {milliseconds{9000}, milliseconds{5000}};
    const entry_decision decision = check_with(conditions, "key");
    cr_assert_eq(decision.status, 503);
    cr_assert(decision.reason == "old_knowledge");
    cr_assert(decision.retry_after.has_value());
}
