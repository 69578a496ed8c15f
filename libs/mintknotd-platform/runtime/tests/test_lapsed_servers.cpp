#include "../src/lapsed_servers.hpp"

#include <criterion/criterion.h>

#include <set>

using namespace mintknot;
using namespace mintknot::runtime;

namespace {

struct fixture {
    explicit fixture(base::milliseconds drain_bound = base::milliseconds{2000})
        : servers(
              owner, log, drain_bound,
              [this](const std::string& id, std::uint64_t) {
                  removed.insert(id);
              },
              [] { return std::size_t{12}; })
        , timer(owner) {}

    void run_for(base::milliseconds time) {
        timer.start(time, [this] { owner.stop(); });
        owner.run();
    }

    event::loop owner;
    logging::line_log log{-1, "test", {}};
    std::set<std::string> removed;
    lapsed_servers servers;
    event::timer timer;
};

constexpr base::milliseconds short_time{200};
constexpr base::milliseconds long_time{2200};

} // namespace

Test(lapsed_servers, in_calm_times_a_server_goes_with_its_row) {
    fixture b;
    b.servers.gone("a", 5, std::nullopt);
    b.run_for(short_time);
    cr_assert(b.removed == std::set<std::string>{"a"});
}

Test(lapsed_servers, after_the_stores_return_rows_have_time_to_come_back) {
    fixture b;
    b.servers.store_returned();
    b.servers.gone("a", 5, std::nullopt);
    b.servers.gone("b", 6, std::nullopt);
    b.run_for(short_time);
    cr_assert(b.removed.empty());
    b.servers.back("a");
    b.run_for(long_time);
    cr_assert(
        b.removed == std::set<std::string>{"b"}, "the row is still missing");
}

Test(lapsed_servers, a_short_drain_bound_is_kept) {
    fixture b(base::milliseconds(700));
    b.servers.store_returned();
    b.servers.gone("a", 5, std::nullopt);
    b.run_for(base::milliseconds(600));
    cr_assert(b.removed == std::set<std::string>{"a"});
}

Test(lapsed_servers, many_rows_gone_at_once_tell_that_the_store_was_away) {
    fixture b;
    for (const char* id : {"a", "b", "c", "d"})
        b.servers.gone(id, 5, std::nullopt);
    b.run_for(short_time);
    cr_assert(b.removed.empty());
    b.servers.back("c");
    b.run_for(long_time);
    cr_assert(b.removed == std::set<std::string>({"a", "b", "d"}));
}

Test(
    lapsed_servers, nothing_that_may_have_left_is_held_beyond_the_drain_bound) {
    // A third of all servers leave together; the rows were seen 600 ms ago.
    fixture b;
    const base::steady_time seen = b.owner.now() - base::milliseconds(600);
    for (const char* id : {"a", "b", "c", "d"})
        b.servers.gone(id, 5, seen);
    b.run_for(short_time);
    cr_assert(b.removed.empty(), "the rows may only have lapsed");
    b.run_for(base::milliseconds(750));
    cr_assert(b.removed.size() == 4);
}

Test(lapsed_servers, a_later_removal_with_less_time_is_not_held_with_others) {
    fixture b;
    b.servers.store_returned();
    b.servers.gone("a", 5, std::nullopt);
    b.servers.gone("b", 6, b.owner.now() - base::milliseconds(1300));
    b.run_for(base::milliseconds(300));
    cr_assert(b.removed.contains("b"));
}
