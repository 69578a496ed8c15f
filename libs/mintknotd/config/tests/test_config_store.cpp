#include <mintknot/config/config_store.hpp>

#include <mintknot/base/random.hpp>
#include <mintknot/standins/fake_platform.hpp>
#include <mintknot/table_service/http_table_client.hpp>

#include <criterion/criterion.h>

#include <atomic>
#include <thread>

using namespace mintknot;
using config::resource_kind;

namespace {

struct served_store {
    served_store()
        : client(
              {"127.0.0.1", *server.start({"127.0.0.1", 0})},
              base::milliseconds{1000})
        , store(client, 1000) {}

    config::change_outcome
    put(const std::string& name, std::optional<std::uint64_t> expected,
        const std::string& model = "m") {
        config::change_request request;
        request.wanted.change_id = base::random_token();
        request.wanted.name = name;
        request.wanted.spec = {{"model", model}};
        request.expected_revision = expected;
        return store.write(request);
    }

    standins::fake_platform server{
        {.writes_per_second = 100000, .reads_per_second = 100000}};
    table_service::http_table_client client;
    config::config_store store;
};

} // namespace

Test(config_store, two_racing_operators_get_one_winner) {
    served_store served;
    const auto first = served.put("s", 0);
    cr_assert_eq(first.revision, 1U);
    std::atomic<int> accepted{0};
    std::atomic<int> conflicts{0};
    std::vector<std::thread> racers;
    for (int i = 0; i < 8; ++i)
        racers.emplace_back([&, i] {
            const auto outcome = served.put("s", 1, std::to_string(i));
            if (outcome.revision != 0)
                ++accepted;
            else if (
                outcome.refused->code == base::reason::conflict &&
                outcome.current->revision == 2)
                ++conflicts;
        });
    for (auto& racer : racers)
        racer.join();
    cr_assert_eq(accepted.load(), 1);
    cr_assert_eq(conflicts.load(), 7);
    cr_assert_eq(*served.store.head(), 2U);
}

Test(config_store, changes_of_different_resources_all_get_in) {
    served_store served;
    std::atomic<int> accepted{0};
    std::vector<std::thread> racers;
    for (int i = 0; i < 6; ++i)
        racers.emplace_back([&, i] {
            if (served.put("s" + std::to_string(i), 0).revision != 0)
                ++accepted;
        });
    for (auto& racer : racers)
        racer.join();
    cr_assert_eq(accepted.load(), 6);
    const auto changes = served.store.changes_since(0);
    cr_assert_eq(changes->size(), 6U);
    cr_assert_eq(served.store.load()->list(resource_kind::service).size(), 6U);
}

Test(config_store, a_lost_answer_is_read_back) {
    served_store served;
    served.server.set_faults({.lose_answers = 1});
    const auto outcome = served.put("s", 0);
    cr_assert_eq(outcome.revision, 1U);
    cr_assert_eq(*served.store.head(), 1U);
}

Test(config_store, with_the_platform_down_nothing_has_run) {
    served_store served;
    served.server.set_faults({.down = true});
    const auto outcome = served.put("s", 0);
    cr_assert(outcome.refused->code == base::reason::platform_unreachable);
    cr_assert(outcome.refused->run == base::verdict::not_run);
}
