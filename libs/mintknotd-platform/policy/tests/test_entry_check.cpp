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
    conditions.max_body_bytes = 100;
    return conditions;
}

entry_decision check(const entry_conditions& conditions) {
    return check_entry(conditions, "h", "/a/b", 0.5);
}

} // namespace

Test(entry_check, a_request_begins_on_its_route) {
    const traffic::configuration config = one_route();
    const entry_decision decision = check(conditions_of(config));
    cr_assert(decision.route != nullptr && decision.route->name == "r");
    cr_assert(decision.service != nullptr && decision.service->name == "s");
}

Test(entry_check, without_a_configuration_callers_come_back) {
    const entry_decision decision = check({});
    cr_assert(decision.service == nullptr);
    cr_assert_eq(decision.status, 503);
    cr_assert(decision.reason == "no_configuration");
    cr_assert(decision.retry_after.has_value());
}

Test(entry_check, what_has_no_route_is_not_found) {
    const traffic::configuration config = one_route();
    const entry_decision decision =
        check_entry(conditions_of(config), "h", "/other", 0.5);
    cr_assert_eq(decision.status, 404);
    cr_assert(!decision.retry_after);
}

Test(entry_check, late_in_a_stop_no_stream_begins) {
    const traffic::configuration config = one_route();
    entry_conditions conditions = conditions_of(config);
    conditions.stopping = true;
    cr_assert(check(conditions).service != nullptr);
    conditions.since_stop = milliseconds{5000};
    cr_assert(check(conditions).reason == "stopping");
}

Test(entry_check, bodies_are_bounded_in_all) {
    const traffic::configuration config = one_route();
    entry_conditions conditions = conditions_of(config);
    conditions.open_body_bytes = 101;
    cr_assert(check(conditions).reason == "memory_full");
}

Test(entry_check, a_route_to_an_unknown_service_is_refused) {
    traffic::configuration config = one_route();
    config.services.clear();
    cr_assert(check(conditions_of(config)).reason == "unknown_service");
}
