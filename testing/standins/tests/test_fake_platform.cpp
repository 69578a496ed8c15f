#include <fmt/format.h>
#include <mintknot/standins/fake_platform.hpp>
#include <mintknot/table_service/http_table_client.hpp>

#include <criterion/criterion.h>

using namespace mintknot;
using end = table_service::commit_result::state;

namespace {

struct served_platform {
    served_platform()
        : where{"127.0.0.1", *server.start({"127.0.0.1", 0})}
        , client(where, base::milliseconds{1000}) {}

    standins::fake_platform server{{}};
    base::address where;
    table_service::http_table_client client;
};

} // namespace

Test(fake_platform, a_commit_is_whole_or_nothing) {
    served_platform served;
    auto& client = served.client;
    cr_assert(
        client.commit({table_service::insert_if_absent("a", 1)}).end ==
        end::applied);
    const auto both = client.commit(
        {table_service::insert_if_absent("b", 1),
         table_service::insert_if_absent("a", 2)});
    cr_assert(both.end == end::conflict);
    cr_assert_eq(both.conflicting.size(), 1U);
    cr_assert_eq(both.conflicting[0].value, 1);
    cr_assert_eq(client.read("b")->revision, 0U);
    const auto row = *client.read("a");
    cr_assert(
        client.commit({table_service::replace("a", 3, row.revision)}).end ==
        end::applied);
    cr_assert(
        client.commit({table_service::erase("a", row.revision)}).end ==
        end::conflict);
}

Test(fake_platform, a_lost_answer_is_unknown_and_has_taken_effect) {
    served_platform served;
    served.server.set_faults({.lose_answers = 1});
    const auto result =
        served.client.commit({table_service::insert_if_absent("a", "mine")});
    cr_assert(result.end == end::unknown);
    cr_assert_eq(served.client.read("a")->value, "mine");
}

Test(fake_platform, an_outage_writes_nothing) {
    served_platform served;
    served.server.set_faults({.down = true});
    cr_assert(
        served.client.commit({table_service::insert_if_absent("a", 1)}).end ==
        end::not_applied);
    cr_assert(!served.client.read("a").ok());
    served.server.set_faults({});
    cr_assert_eq(served.client.read("a")->revision, 0U);
}

Test(fake_platform, scans_go_page_by_page) {
    served_platform served;
    table_service::transaction writes;
    for (int i = 0; i < 2500; ++i)
        writes.push_back(
            table_service::insert_if_absent(fmt::format("row/{:05}", i), i));
    writes.push_back(table_service::insert_if_absent("other", 0));
    cr_assert(served.client.commit(writes).end == end::applied);
    const auto rows = table_service::scan_all(served.client, "row/");
    cr_assert(rows.ok());
    cr_assert_eq(rows->size(), 2500U);
    cr_assert_eq(rows->back().value, 2499);
}
