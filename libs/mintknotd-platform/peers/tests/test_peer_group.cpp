#include <mintknot/peers/peer_group.hpp>

#include <mintknot/event/datagrams.hpp>

#include <criterion/criterion.h>
#include <fmt/format.h>

#include <algorithm>
#include <functional>
#include <memory>

using namespace mintknot;
using namespace mintknot::peers;

namespace {

constexpr base::milliseconds test_limit{10000};

/// @return a port that is free on several loopback addresses.
std::uint16_t free_port(event::loop& owner) {
    event::datagrams probe(owner);
    cr_assert(probe.open({"127.0.0.1", 0}, [](auto&, auto) {}).ok());
    return probe.port();
}

} // namespace

Test(peer_group, all_find_each_other_through_one_seed) {
    event::loop owner;
    logging::line_log log(-1, "test", {});
    const std::uint16_t port = free_port(owner);
    const std::vector<std::string> hosts = {
        "127.0.0.2", "127.0.0.3", "127.0.0.4"};
    std::vector<std::unique_ptr<peer_group>> groups;
    const auto all_found = [&] {
        for (const auto& group : groups)
            if (group->table().heard.size() + 1 < hosts.size())
                return false;
        return groups.size() == hosts.size();
    };
    for (const std::string& host : hosts) {
        group_options options;
        options.own = {host, port};
        options.seeds = {hosts[0], "127.0.0.99"};
        options.heartbeat_period = base::milliseconds(20);
        options.search_period = base::milliseconds(20);
        groups.push_back(std::make_unique<peer_group>(
            owner, log, options,
            group_handlers{
                [] { return heartbeat{}; },
                [&](auto&, auto&) {
                    if (all_found())
                        owner.stop();
                }}));
        cr_assert(groups.back()->open().ok());
    }
    event::timer limit(owner);
    limit.start(test_limit, [&] { owner.stop(); });
    owner.run();
    cr_assert(all_found());
}

Test(peer_group, other_data_centres_hear_of_a_change_at_once) {
    event::loop owner;
    logging::line_log log(-1, "test", {});
    const std::uint16_t port = free_port(owner);
    std::vector<std::unique_ptr<peer_group>> groups;
    std::uint64_t version = 1;
    std::uint64_t told = 0;
    for (const std::string host : {"127.0.0.2", "127.0.0.3"}) {
        group_options options;
        options.own = {host, port};
        options.data_centre = host;
        options.seeds = {"127.0.0.2"};
        // Without a change nothing would be sent for the whole test.
        options.heartbeat_period = test_limit * 10;
        options.search_period = base::milliseconds(20);
        groups.push_back(std::make_unique<peer_group>(
            owner, log, options,
            group_handlers{
                [&] {
                    heartbeat own;
                    own.configuration = version;
                    return own;
                },
                [&](auto&, const heartbeat& heard) {
                    told = std::max(told, heard.configuration);
                    if (told == 1) {
                        version = 2;
                        groups.front()->changed();
                    } else {
                        owner.stop();
                    }
                }}));
        cr_assert(groups.back()->open().ok());
    }
    event::timer limit(owner);
    limit.start(test_limit, [&] { owner.stop(); });
    owner.run();
    cr_assert(told == 2);
}

namespace {

/// Many instances on one loop that start together and know one seed.
struct fleet {
    explicit fleet(std::size_t size)
        : log(-1, "test", {}) {
        const std::uint16_t port = free_port(owner);
        for (std::size_t i = 0; i < size; ++i)
            hosts.push_back(fmt::format("127.0.1.{}", i + 1));
        for (const std::string& host : hosts) {
            group_options options;
            options.own = {host, port};
            options.data_centre = std::to_string(groups.size() % 5);
            options.seeds = {hosts[0]};
            groups.push_back(std::make_unique<peer_group>(
                owner, log, options,
                group_handlers{
                    [] { return heartbeat{}; }, [](auto&, auto&) {}}));
            cr_assert(groups.back()->open().ok());
        }
    }

    /// @return the fewest that any instance hears.
    std::size_t least_heard() const {
        std::size_t least = hosts.size();
        for (const auto& group : groups)
            least = std::min(least, group->table().heard.size());
        return least;
    }

    event::loop owner;
    logging::line_log log;
    std::vector<std::string> hosts;
    std::vector<std::unique_ptr<peer_group>> groups;
};

} // namespace

Test(peer_group, a_hundred_that_start_together_soon_hear_each_other) {
    // Seeking 16 a second, they needed 6.7 s.
    fleet all(100);
    event::timer look(all.owner);
    std::function<void()> until_all_are_heard = [&] {
        if (all.least_heard() + 1 == all.hosts.size())
            all.owner.stop();
        else
            look.start(base::milliseconds(20), until_all_are_heard);
    };
    const base::steady_time begun = all.owner.now();
    event::timer limit(all.owner);
    limit.start(test_limit, [&] { all.owner.stop(); });
    until_all_are_heard();
    all.owner.run();
    const std::chrono::duration<double> took = all.owner.now() - begun;
    cr_log_info("took %.2f s", took.count());
    cr_assert(all.least_heard() + 1 == all.hosts.size());
    cr_assert(took.count() < 3.0, "took %.2f s", took.count());
}
