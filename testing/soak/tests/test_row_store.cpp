#include "row_store.hpp"

#include <criterion/criterion.h>

using namespace mintknot::soak;
using nlohmann::json;

namespace {

const row_store::time start{};

json put(const std::string& value, int expected = -1) {
    json request = {
        {"put", {{{"table", "t"}, {"key", "k"}, {"value", value}}}}};
    if (expected >= 0)
        request["expected_count"] = {
            {{"table", "t"}, {"key", "k"}, {"ver", expected}}};
    return request;
}

} // namespace

Test(row_store, conditions_are_kept) {
    row_store store;
    cr_assert(store.transact(put("a", 0), start).first == 200);
    cr_assert(store.transact(put("b", 0), start).first == 412);
    const auto version = store.read("t")["rows"][0]["ver"].get<int>();
    cr_assert(store.transact(put("b", version), start).first == 200);
    cr_assert(store.read("t")["rows"][0]["value"] == "b");
}

Test(row_store, forgotten_history_is_said_to_be_gone) {
    row_store store;
    store.transact(put("a"), start);
    cr_assert(store.remembers(0));
    store.forget_history();
    cr_assert(!store.remembers(0));
    cr_assert(store.remembers(store.read("t")["ver"].get<std::uint64_t>()));
    cr_assert(store.read("t")["rows"].size() == 1);
}

Test(row_store, silent_rows_go_and_are_told_of) {
    row_store store;
    store.transact(put("a"), start);
    const auto before = store.read("t")["ver"].get<std::uint64_t>();
    // The same value again is a heartbeat, no change.
    store.transact(put("a"), start + std::chrono::seconds(1));
    cr_assert(store.changes("t", before)["rows"].empty());
    store.expire(
        "t", std::chrono::milliseconds(500), start + std::chrono::seconds(2));
    cr_assert(store.changes("t", before)["rows"][0]["gone"] == true);
    cr_assert(store.read("t")["rows"].empty());
}

Test(row_store, an_unassigned_version_is_not_remembered) {
    row_store store;
    store.transact(put("a"), start);
    const auto newest = store.read("t")["ver"].get<std::uint64_t>();
    cr_assert(store.remembers(newest));
    cr_assert(!store.remembers(newest + 1));
}
