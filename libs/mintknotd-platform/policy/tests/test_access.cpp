#include <mintknot/policy/access.hpp>

#include <criterion/criterion.h>

using namespace mintknot;
using namespace mintknot::policy;
using base::milliseconds;

namespace {

traffic::organisation_row row(const std::string& name, const std::string& key) {
    traffic::organisation_row value;
    value.value.name = name;
    value.keys = {key};
    return value;
}

const traffic::organisation_table table({row("a", "ka"), row("b", "kb")});
const configuration_freshness unbounded{};

configuration_freshness of_age(std::optional<milliseconds> age) {
    return {age, milliseconds{5000}};
}

access_verdict what(
    bool open_to_all, const std::optional<std::string>& key,
    const configuration_freshness& known) {
    return check_access(&table, open_to_all, key, known).what;
}

} // namespace

Test(access, a_key_identifies_its_organisation) {
    const access_decision decision =
        check_access(&table, false, "kb", unbounded);
    cr_assert(decision.what == access_verdict::granted);
    cr_assert(decision.organisation->name == "b");
}

Test(access, requests_without_a_known_key_are_refused) {
    cr_assert(
        what(false, std::nullopt, unbounded) == access_verdict::unknown_key);
    cr_assert(what(false, "kc", unbounded) == access_verdict::unknown_key);
    cr_assert(what(false, "KA", unbounded) == access_verdict::unknown_key);
}

Test(access, an_open_route_needs_no_key_but_attributes_requests) {
    cr_assert(what(true, std::nullopt, unbounded) == access_verdict::granted);
    cr_assert(what(true, "kc", unbounded) == access_verdict::granted);
    const access_decision known = check_access(&table, true, "ka", unbounded);
    cr_assert(known.organisation->name == "a");
}

Test(access, keys_are_ignored_without_organisations) {
    const access_decision decision =
        check_access(nullptr, false, "ka", of_age(std::nullopt));
    cr_assert(decision.what == access_verdict::granted);
    cr_assert(decision.organisation == nullptr);
}

Test(access, a_stale_configuration_admits_no_key) {
    cr_assert(
        what(false, "ka", of_age(milliseconds{4900})) ==
        access_verdict::granted);
    cr_assert(
        what(false, "ka", of_age(milliseconds{4901})) ==
        access_verdict::stale_configuration);
    cr_assert(
        what(false, "ka", of_age(std::nullopt)) ==
        access_verdict::stale_configuration);
    // An unknown key cannot be told from a new one either.
    cr_assert(
        what(false, "kc", of_age(milliseconds{6000})) ==
        access_verdict::stale_configuration);
}

Test(access, open_routes_stay_available_anonymously_when_stale) {
    const access_decision decision =
        check_access(&table, true, "ka", of_age(milliseconds{9000}));
    cr_assert(decision.what == access_verdict::granted);
    cr_assert(decision.organisation == nullptr);
}

Test(access, an_age_of_three_fifths_of_the_bound_is_accepted) {
    cr_assert(
        what(false, "ka", of_age(milliseconds{3000})) ==
        access_verdict::granted);
}
