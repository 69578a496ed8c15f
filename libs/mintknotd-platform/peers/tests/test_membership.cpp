#include <mintknot/peers/membership.hpp>

#include <criterion/criterion.h>

#include <functional>
#include <list>
#include <map>

using namespace mintknot;
using namespace mintknot::peers;
using policy::group_role;

namespace {

constexpr base::milliseconds test_limit{15000};

/// Many members on one loop; datagrams go from one to the other in memory.
struct fleet {
    explicit fleet(std::size_t size, std::size_t max_flat_group)
        : log(-1, "test", {})
        , look(owner)
        , limit(owner) {
        for (std::size_t i = 0; i < size; ++i)
            add("h" + std::to_string(i), i, max_flat_group);
        for (auto& [host, member] : members)
            member->start();
    }

    void
    add(const std::string& host, std::size_t number,
        std::size_t max_flat_group) {
        membership_options options;
        options.own = {
            host, "dc" + std::to_string(number % 3), number % 10 == 0 ? 9 : 6};
        options.seeds = {"h0", "h1", "gone"};
        options.max_flat_group = max_flat_group;
        members[host] = std::make_unique<membership>(
            owner, log, options,
            membership_handlers{
                [this, host](const std::string& to, const std::string& text) {
                    deliver(host, to, text);
                },
                [this]() -> const peer_table& { return nobody; },
                [] { return false; }, [](group_role, const roster&) {}});
    }

    void deliver(
        const std::string& from, const std::string& to,
        const std::string& text) {
        ++sent[from];
        owner.post([this, from, to, text] {
            const auto found = members.find(to);
            if (found != members.end())
                found->second->receive(from, text);
        });
    }

    void run_until(const std::function<bool()>& done) {
        const std::function<void()> poll = [&] {
            if (done())
                owner.stop();
            else
                look.start(base::milliseconds(20), poll);
        };
        poll();
        limit.start(test_limit, [this] { owner.stop(); });
        owner.run();
        cr_assert(done());
    }

    std::size_t count(group_role role) const {
        std::size_t found = 0;
        for (const auto& [host, member] : members)
            found += member->role() == role ? 1 : 0;
        return found;
    }

    event::loop owner;
    logging::line_log log;
    event::timer look;
    event::timer limit;
    peer_table nobody;
    std::map<std::string, std::unique_ptr<membership>> members;
    std::map<std::string, int> sent;
};

} // namespace

Test(membership, those_that_start_together_find_their_parts) {
    for (const std::size_t size : {60, 120, 240}) {
        fleet all(size, 50);
        all.run_until([&] { return all.count(group_role::flat) == 0; });
        cr_assert(all.count(group_role::super_peer) <= 36);
        cr_assert(all.count(group_role::leaf) > size / 3);
        // What a member sends until then does not grow with the group.
        for (const auto& [host, member] : all.members)
            if (member->role() == group_role::leaf && host != "h1")
                cr_assert(all.sent[host] < 30, "%d", all.sent[host]);
    }
}

Test(membership, a_small_group_stays_flat) {
    fleet all(20, 50);
    event::timer end(all.owner);
    end.start(base::milliseconds(800), [&] { all.owner.stop(); });
    all.owner.run();
    cr_assert(all.count(group_role::flat) == 20);
}

Test(membership, whoever_comes_later_is_a_leaf_at_once) {
    fleet all(60, 50);
    all.run_until([&] { return all.count(group_role::flat) == 0; });
    all.add("late", 1, 50);
    all.members["late"]->start();
    all.run_until(
        [&] { return all.members["late"]->role() == group_role::leaf; });
    cr_assert(all.members["late"]->table().instances >= 60);
}
