#include <mintknot/traffic/server_table.hpp>

#include <criterion/criterion.h>

using namespace mintknot::traffic;

namespace {

server named(const std::string& id, bool draining = false) {
    server value;
    value.id = id;
    value.service = "s";
    value.draining = draining;
    return value;
}

} // namespace

Test(server_table, never_goes_back) {
    server_table table;
    cr_assert(apply(table, "i", 5, named("i", true)));
    cr_assert(!apply(table, "i", 4, named("i")));
    cr_assert(open_servers(table, "s").empty());
    cr_assert(apply(table, "i", 6, std::nullopt));
    cr_assert(!apply(table, "i", 5, named("i")));
    cr_assert(find(table, "i") == nullptr);
    cr_assert(table.newest == 6);
}

Test(server_table, a_draining_server_is_known_but_not_open) {
    server_table table;
    apply(table, "i", 1, named("i"));
    apply(table, "j", 2, named("j", true));
    cr_assert(open_servers(table, "s").size() == 1);
    cr_assert(find(table, "j") != nullptr);
    cr_assert(open_servers(table, "other").empty());
}
