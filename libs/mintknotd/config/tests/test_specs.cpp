#include <mintknot/config/specs.hpp>

#include <criterion/criterion.h>

using namespace mintknot;
using config::resource_kind;

Test(specs, good_resources_pass) {
    cr_assert(check_spec(resource_kind::service, {{"model", "m"}}).ok());
    cr_assert(check_spec(resource_kind::pool, {{"service", "s"}}).ok());
    cr_assert(
        check_spec(
            resource_kind::backend_server,
            {{"pool", "p"}, {"address", "127.0.0.1:1"}, {"data_centre", "dc1"}})
            .ok());
}

Test(specs, errors_carry_the_path) {
    const auto status = check_spec(
        resource_kind::service,
        {{"model", "m"}, {"objective", {{"goodput", -1}}}});
    cr_assert(
        std::string(status.message()).find("spec.objective.goodput:") == 0);
}

Test(specs, a_key_must_be_a_digest) {
    cr_assert(!check_spec(
                   resource_kind::organisation, {{"key_sha256", {"my-secret"}}})
                   .ok());
}

Test(specs, calls_without_a_rule_follow_their_method) {
    config::service_spec service;
    service.calls = {{"POST", "/search", true}, {"", "/orders", false}};
    cr_assert(is_repeatable(service, "GET", "/status"));
    cr_assert(!is_repeatable(service, "POST", "/status"));
    cr_assert(is_repeatable(service, "POST", "/search/all"));
    cr_assert(!is_repeatable(service, "GET", "/orders/1"));
}
