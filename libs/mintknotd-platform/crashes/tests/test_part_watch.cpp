#include "part_watch.hpp"
#include "relay_fixture.hpp"

#include <criterion/criterion.h>

#include <map>
#include <set>

using namespace mintknot;
using namespace mintknot::crashes;
using namespace mintknot::relay::tests;

namespace {

/// Watches that reach each other; each leaf is told by the first instance.
struct watch_group {
    watch_group(int instances, int leaves) {
        for (int i = 0; i < instances; ++i)
            add("h" + std::to_string(i), false);
        for (int i = 0; i < leaves; ++i)
            add("l" + std::to_string(i), true);
    }

    void add(const std::string& host, bool leaf) {
        (leaf ? leaves : instances).push_back(host);
        crash_watch_callbacks& own = callbacks[host];
        own.own_host = host;
        own.send = [this,
                    host](const std::string& to, const std::string& datagram) {
            f.owner.post([this, host, to, datagram] {
                if (!unreachable.contains(to))
                    watches.at(to)->receive(host, datagram);
            });
        };
        own.peers = [this] { return instances; };
        own.leaf_hosts = [this, host] {
            return host == instances.front() ? leaves
                                             : std::vector<std::string>{};
        };
        watches[host] =
            std::make_unique<part_watch>(f.context, own, base::steady_time{});
    }

    /// An evaluator hears of engines that ended under these parts.
    void
    report(const std::string& to, int ends, const policy::prompt_parts& parts) {
        for (int i = 0; i < ends; ++i) {
            broken_run run{{"d", 2}, base::milliseconds(80)};
            run.ago = base::milliseconds(1000 * i);
            run.parts = parts;
            watches.at(to)->record({"e" + std::to_string(++engines), {run}});
        }
    }

    bool blocked_at_all(const policy::prompt_parts& parts) {
        for (const auto& [host, watch] : watches)
            if (!unreachable.contains(host) && !watch->find_block(parts))
                return false;
        return true;
    }

    void run_for(base::milliseconds time) {
        event::timer wait(f.owner);
        bool over = false;
        wait.start(time, [&] { over = true; });
        f.run_until([&] { return over; });
    }

    relay_fixture f;
    std::map<std::string, crash_watch_callbacks> callbacks;
    std::map<std::string, std::unique_ptr<part_watch>> watches;
    std::vector<std::string> instances;
    std::vector<std::string> leaves;
    std::set<std::string> unreachable;
    int engines = 0;
};

} // namespace

Test(part_watch, a_part_is_blocked_at_all_instances_and_leaves) {
    watch_group g(4, 2);
    g.report("h1", 3, {"bad"});
    g.f.run_until([&] { return g.blocked_at_all({"bad", "x"}); });
    cr_assert(!g.watches.at("h2")->find_block({"x"}));
    cr_assert(g.watches.at("h2")->find_block({"bad"})->parts == "bad");
    cr_assert(g.watches.at("l1")->blocked() == 1);
}

Test(part_watch, a_part_that_another_instance_knows_as_sound_is_not_blocked) {
    for (const char* host : {"h3", "l1"}) {
        watch_group g(4, 2);
        g.watches.at(host)->note_sound({"first"});
        g.report("h1", 3, {"first", "bad"});
        g.report("h1", 1, {"first", "x"});
        g.f.run_until([&] { return g.blocked_at_all({"bad", "first"}); });
        cr_assert(!g.watches.at("h2")->find_block({"first"}));
        cr_assert(g.watches.at("h2")->find_block({"bad"}).has_value());
    }
}

Test(part_watch, an_instance_that_starts_learns_of_blocks) {
    watch_group g(3, 0);
    g.unreachable = {"h2"};
    g.report("h0", 3, {"bad"});
    g.f.run_until([&] { return g.blocked_at_all({"bad"}); });
    g.unreachable.clear();
    g.f.run_until([&] { return g.blocked_at_all({"bad"}); });
}

Test(part_watch, a_sound_answer_ends_a_block_everywhere) {
    watch_group g(3, 1);
    g.report("h1", 3, {"late"});
    g.f.run_until([&] { return g.blocked_at_all({"late"}); });
    g.watches.at("h2")->note_sound({"late", "x"});
    g.f.run_until([&] {
        for (const auto& [host, watch] : g.watches)
            if (watch->blocked() > 0)
                return false;
        return true;
    });
    g.run_for(base::milliseconds(1200));
    for (const auto& [host, watch] : g.watches)
        cr_assert(watch->blocked() == 0);
}
