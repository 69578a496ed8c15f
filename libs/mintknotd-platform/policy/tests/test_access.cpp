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

Test(access, a_key_names_its_holder) {
    const access_decision decision =
        check_access(&table, false, "kb", unbounded);
    cr_assert(decision.what == access_verdict::granted);
    cr_assert(decision.organisation->name == "b");
}

Test(access, without_a_known_key_nothing_is_let_in) {
    cr_assert(
        what(false, std::nullopt, unbounded) == access_verdict::unknown_key);
    cr_assert(what(false, "kc", unbounded) == access_verdict::unknown_key);
    cr_assert(what(false, "KA", unbounded) == access_verdict::unknown_key);
}

Test(access, a_route_for_all_needs_no_key_but_looks_at_it) {
    cr_assert(what(true, std::nullopt, unbounded) == access_verdict::granted);
    cr_assert(what(true, "kc", unbounded) == access_verdict::granted);
    const access_decision known = check_access(&table, true, "ka", unbounded);
    cr_assert(known.organisation->name == "a");
}

Test(access, without_organisations_no_key_is_looked_at) {
    const access_decision decision =
        check_access(nullptr, false, "ka", of_age(std::nullopt));
    cr_assert(decision.what == access_verdict::granted);
    cr_assert(decision.organisation == nullptr);
}

Test(access, old_knowledge_lets_nobody_in) {
    cr_assert(
        what(false, "ka", of_age(milliseconds{4900})) ==
        access_verdict::granted);
    cr_assert(
        what(false, "ka", of_age(milliseconds{4901})) ==
        access_verdict::stale_configuration);
    cr_assert(
        what(false, "ka", of_age(std::nullopt)) ==
        access_verdict::stale_configuration);
    // Whether the key is good cannot be told either way.
    cr_assert(
        what(false, "kc", of_age(milliseconds{6000})) ==
        access_verdict::stale_configuration);
}

Test(access, old_knowledge_serves_routes_for_all_on_as_nobodys) {
    const access_decision decision =
        check_access(&table, true, "ka", of_age(milliseconds{9000}));
    cr_assert(decision.what == access_verdict::granted);
    cr_assert(decision.organisation == nullptr);
}

Test(access, three_fifths_of_the_bound_are_served_in_any_case) {
    cr_assert(
        what(false, "ka", of_age(milliseconds{3000})) ==
        access_verdict::granted);
}
