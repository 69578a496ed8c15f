#include <mintknot/traffic/organisation_table.hpp>

#include <criterion/criterion.h>

using namespace mintknot::traffic;

namespace {

organisation named(const std::string& name) {
    organisation value;
    value.name = name;
    return value;
}

} // namespace

Test(organisation_table, finds_the_holder_of_each_key) {
    const organisation_table table(
        {{named("a"), {"k1", "k2"}}, {named("b"), {"k3"}}, {named("c"), {}}});
    cr_assert(table.size() == 3);
    cr_assert(table.find_by_key("k1")->name == "a");
    cr_assert(table.find_by_key("k2")->name == "a");
    cr_assert(table.find_by_key("k3")->name == "b");
    cr_assert(table.find_by_key("k") == nullptr);
    cr_assert(table.find_by_key("k33") == nullptr);
    cr_assert(table.find_by_key("") == nullptr);
}

Test(organisation_table, an_empty_key_opens_nothing) {
    const organisation_table table({{named("a"), {""}}});
    cr_assert(table.find_by_key("") == nullptr);
}

Test(organisation_table, a_key_of_two_organisations_opens_neither) {
    const organisation_table table(
        {{named("a"), {"k", "k", "own"}},
         {named("b"), {"k"}},
         {named("c"), {"k"}}});
    cr_assert(table.find_by_key("k") == nullptr);
    cr_assert(table.find_by_key("own")->name == "a");
}

Test(organisation_table, keys_of_any_bytes_are_told_apart) {
    const std::string binary("k\0x", 3);
    const organisation_table table({{named("a"), {binary}}});
    cr_assert(table.find_by_key(binary)->name == "a");
    cr_assert(table.find_by_key("k") == nullptr);
}
