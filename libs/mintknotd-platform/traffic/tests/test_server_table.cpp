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

Test(server_table, open_servers_stay_sorted_through_every_change) {
    server_table table;
    std::uint64_t version = 0;
    for (const char* id : {"c", "a", "d", "b"})
        apply(table, id, ++version, named(id));
    apply(table, "a", ++version, named("a", true));
    apply(table, "d", ++version, std::nullopt);
    server moved = named("b");
    moved.service = "other";
    apply(table, "b", ++version, moved);
    apply(table, "a", ++version, named("a"));
    const auto& open = open_servers(table, "s");
    cr_assert(open.size() == 2);
    cr_assert(open[0]->id == "a");
    cr_assert(open[1]->id == "c");
    cr_assert(open_servers(table, "other").size() == 1);
    apply(table, "b", ++version, std::nullopt);
    cr_assert(open_servers(table, "other").empty());
}

Test(server_table, a_row_costs_the_same_in_a_large_fleet) {
    constexpr int rows = 20000;
    server_table table;
    std::uint64_t version = 0;
    for (int i = 0; i < rows; ++i)
        apply(table, std::to_string(i), ++version, named(std::to_string(i)));
    cr_assert(table.swept == 0, "%lu entries", table.swept);
    for (int i = 0; i < rows; ++i)
        apply(table, std::to_string(i), ++version, std::nullopt);
    cr_assert(table.swept < std::uint64_t{rows} * 5, "%lu", table.swept);
    cr_assert(table.traces <= 4096 && table.by_id.size() == table.traces);
}

Test(server_table, named_servers_are_known_but_not_open) {
    server_table table;
    become_partial(table);
    note_named(table, {named("i"), 5});
    cr_assert(find(table, "i") != nullptr);
    cr_assert(open_servers(table, "s").empty());
    cr_assert(named_servers(table, "s").size() == 1);
    // A row of the same version opens it.
    cr_assert(apply(table, "i", 5, named("i")));
    cr_assert(open_servers(table, "s").size() == 1);
    cr_assert(!apply(table, "i", 5, named("i")));
    // What is known from a row is not overwritten.
    note_named(table, {named("i", true), 9});
    cr_assert(!find(table, "i")->draining);
    apply(table, "i", 6, std::nullopt);
    cr_assert(open_servers(table, "s").empty());
}

Test(server_table, few_named_servers_are_kept) {
    server_table table;
    become_partial(table);
    for (std::uint64_t i = 1; i <= 2000; ++i)
        note_named(table, {named(std::to_string(i)), i});
    cr_assert(table.by_id.size() <= 512);
    cr_assert(find(table, "2000") != nullptr && find(table, "1") == nullptr);
}

Test(server_table, a_closed_data_centre_has_no_open_servers) {
    server_table table;
    server near = named("i");
    near.data_centre = "a";
    server far = named("j");
    far.data_centre = "b";
    apply(table, "i", 1, near);
    apply(table, "j", 2, far);
    set_closed(table, "a", true);
    set_closed(table, "a", true);
    cr_assert(open_servers(table, "s").size() == 1);
    cr_assert(find(table, "i") != nullptr && !takes_new(table, near));
    // Rows that come meanwhile stay closed, too.
    near.slots = 9;
    apply(table, "i", 3, near);
    cr_assert(open_servers(table, "s").size() == 1);
    set_closed(table, "b", true);
    cr_assert(open_servers(table, "s").empty());
    set_closed(table, "a", false);
    cr_assert(open_servers(table, "s").at(0)->slots == 9);
    become_partial(table);
    cr_assert(!takes_new(table, far));
}
