#include <mintknot/config/catalogue.hpp>

#include <criterion/criterion.h>

using namespace mintknot;
using config::change;
using config::resource_kind;

namespace {

change
put(std::uint64_t revision, resource_kind kind, const std::string& name,
    const nlohmann::json& spec) {
    return {revision, "id", "ops", kind, name, false, spec};
}

change
erase(std::uint64_t revision, resource_kind kind, const std::string& name) {
    return {revision, "id", "ops", kind, name, true, {}};
}

const nlohmann::json model_service{{"model", "m"}};

} // namespace

Test(catalogue, follows_changes) {
    const std::string digest(64, 'a');
    const auto first = config::catalogue().with(
        {put(1, resource_kind::service, "s", model_service),
         put(2, resource_kind::organisation, "o", {{"key_sha256", {digest}}})});
    cr_assert_eq(first.revision(), 2U);
    cr_assert_eq(first.service_for_model("m")->name, "s");
    cr_assert_eq(first.organisation_for_digest(digest)->name, "o");
    const auto second =
        first.with({erase(3, resource_kind::organisation, "o")});
    cr_assert(!second.organisation_for_digest(digest));
    cr_assert(first.organisation_for_digest(digest) != nullptr);
}

Test(catalogue, old_changes_are_skipped) {
    const auto current = config::catalogue().with(
        {put(5, resource_kind::service, "s", model_service)});
    const auto after = current.with({erase(4, resource_kind::service, "s")});
    cr_assert(after.service("s") != nullptr);
    cr_assert_eq(after.revision(), 5U);
}

Test(catalogue, a_scan_that_saw_a_later_state_does_not_go_back) {
    const auto scanned = config::catalogue::from(
        {{resource_kind::service, "s", 7, {{"model", "new"}}}}, 5);
    cr_assert_eq(scanned.revision(), 5U);
    const auto after = scanned.with(
        {put(6, resource_kind::service, "s", {{"model", "old"}}),
         put(7, resource_kind::service, "s", {{"model", "new"}})});
    cr_assert_eq(after.service("s")->spec.model, "new");
    cr_assert_eq(after.revision(), 7U);
}

Test(catalogue, references_are_checked) {
    const auto current = config::catalogue().with(
        {put(1, resource_kind::service, "s", model_service),
         put(2, resource_kind::pool, "p", {{"service", "s"}})});
    cr_assert(!current
                   .broken_reference(
                       put(0, resource_kind::pool, "q", {{"service", "x"}}))
                   .empty());
    cr_assert(!current.broken_reference(erase(0, resource_kind::service, "s"))
                   .empty());
    cr_assert(
        current.broken_reference(erase(0, resource_kind::pool, "p")).empty());
    const auto planned = current.with({put(
        3, resource_kind::planned_change, "c",
        {{"pool", "p"}, {"value", "v2"}})});
    cr_assert(
        !planned.broken_reference(erase(0, resource_kind::pool, "p")).empty());
}
