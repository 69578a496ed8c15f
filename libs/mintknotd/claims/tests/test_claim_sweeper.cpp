#include <mintknot/claims/claim.hpp>
#include <mintknot/claims/claim_sweeper.hpp>
#include <mintknot/standins/fake_platform.hpp>
#include <mintknot/table_service/http_table_client.hpp>

#include <criterion/criterion.h>

using namespace mintknot;
using namespace mintknot::claims;

namespace {

const base::wall_time now{std::chrono::hours(100000)};

struct swept_store {
    swept_store()
        : client(
              {"127.0.0.1", *server.start({"127.0.0.1", 0})},
              base::milliseconds{1000}) {}

    void add(const std::string& key, std::chrono::hours age) {
        claim row;
        row.created_ms = (now - age).time_since_epoch().count();
        client.commit({table_service::insert_if_absent(
            row_key({"school", key}), to_json(row))});
    }
    std::size_t left() {
        return table_service::scan_all(client, "claim/")->size();
    }

    standins::fake_platform server{{.writes_per_second = 10000}};
    table_service::http_table_client client;
};

} // namespace

Test(claim_sweeper, removes_only_what_is_older_than_the_retention) {
    swept_store store;
    store.add("old", std::chrono::hours(25));
    store.add("young", std::chrono::hours(23));
    store.client.commit({table_service::insert_if_absent("config/head", 1)});
    claim_sweeper sweeper(store.client, {.kept = std::chrono::hours(24)});
    cr_assert_eq(sweeper.sweep_page(now), 1U);
    cr_assert_eq(store.left(), 1U);
    cr_assert_eq(store.client.read("config/head")->revision > 0, true);
}

Test(claim_sweeper, goes_round_page_by_page) {
    swept_store store;
    for (int i = 0; i < 25; ++i)
        store.add(std::to_string(i), std::chrono::hours(i < 10 ? 48 : 1));
    claim_sweeper sweeper(
        store.client, {.kept = std::chrono::hours(24), .page_rows = 10});
    std::size_t removed = 0;
    for (int page = 0; page < 6; ++page)
        removed += sweeper.sweep_page(now);
    cr_assert_eq(removed, 10U);
    cr_assert_eq(store.left(), 15U);
}

Test(claim_sweeper, without_the_store_nothing_happens) {
    swept_store store;
    store.add("old", std::chrono::hours(48));
    store.server.set_faults({.down = true});
    claim_sweeper sweeper(store.client, {.kept = std::chrono::hours(24)});
    cr_assert_eq(sweeper.sweep_page(now), 0U);
    store.server.set_faults({});
    cr_assert_eq(sweeper.sweep_page(now), 1U);
}
