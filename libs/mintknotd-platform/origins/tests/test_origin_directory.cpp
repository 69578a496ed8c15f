#include "relay_fixture.hpp"

#include <mintknot/origins/origin_directory.hpp>

#include <criterion/criterion.h>

#include <map>
#include <set>

using namespace mintknot;
using namespace mintknot::origins;
using namespace mintknot::relay;
using namespace mintknot::relay::tests;

namespace {

constexpr base::milliseconds life{10000};

/// Instances that reach each other on one event loop.
struct group {
    explicit group(int count) {
        for (int i = 0; i < count; ++i) {
            const std::string host = "h" + std::to_string(i);
            members[host] = std::make_unique<origin_directory>(
                f.context,
                origin_callbacks{
                    [this,
                     host](const std::string& to, const std::string& datagram) {
                        deliver(host, to, datagram);
                    },
                    [this, host] { return others(host); },
                    [this](const std::string&) { return only; }});
        }
    }

    void deliver(
        const std::string& from, const std::string& to,
        const std::string& datagram) {
        f.owner.post([this, from, to, datagram] {
            if (!silent.contains(to) && !silent.contains(from))
                members.at(to)->receive(from, datagram);
        });
    }

    std::vector<policy::instance_location> others(const std::string& host) {
        std::vector<policy::instance_location> result;
        for (const auto& [other, member] : members)
            if (other != host)
                result.push_back({other, "a"});
        return result;
    }

    std::size_t remembering(const std::string& id) const {
        std::size_t count = 0;
        for (const auto& [host, member] : members)
            count += policy::find_origin(
                         member->table(), policy::stream_key("", id),
                         f.owner.now()) != nullptr
                         ? 1
                         : 0;
        return count;
    }

    origin_answer find(const std::string& host, const stream_identity& stream) {
        std::optional<origin_answer> found;
        const auto ticket = members.at(host)->find(
            stream, [&](const origin_answer& answer) { found = answer; });
        f.run_until([&] { return found.has_value(); });
        return *found;
    }

    relay_fixture f;
    std::map<std::string, std::unique_ptr<origin_directory>> members;
    std::set<std::string> silent;
    std::optional<std::string> only;
};

const stream_identity r1{"", "r1", "llm"};

} // namespace

Test(origin_directory, any_instance_finds_a_stream_when_its_own_is_gone) {
    group g(9);
    g.members.at("h0")->note_begun(r1, "v1", life);
    g.f.run_until([&] { return g.remembering("r1") == 4; });
    g.silent = {"h0"};
    for (const auto& [host, member] : g.members) {
        if (host == "h0")
            continue;
        const origin_answer found = g.find(host, r1);
        cr_assert(found.decision.verdict == policy::origin_verdict::known);
        cr_assert(found.decision.version == "v1");
    }
}

Test(origin_directory, a_stream_is_not_told_to_another_organisation) {
    group g(5);
    g.members.at("h0")->note_begun({"one", "r1", "llm"}, "v1", life);
    const origin_answer found = g.find("h1", {"two", "r1", "llm"});
    cr_assert(found.decision.verdict == policy::origin_verdict::unknown);
}

Test(origin_directory, a_silent_holder_is_told_from_one_that_does_not_know) {
    group g(5);
    cr_assert(
        g.find("h1", r1).decision.verdict == policy::origin_verdict::unknown);
    g.silent = {"h2"};
    cr_assert(
        g.find("h1", r1).decision.verdict ==
        policy::origin_verdict::unanswered);
}

Test(origin_directory, the_only_version_serves_where_nobody_remembers) {
    group g(3);
    g.only = "v1";
    const origin_answer found = g.find("h1", {"", "", "llm"});
    cr_assert(found.decision.verdict == policy::origin_verdict::only_version);
    cr_assert(found.decision.version == "v1");
    g.members.at("h0")->note_begun(r1, "v2", life);
    cr_assert(g.find("h1", r1).decision.version == "v2");
}

Test(origin_directory, a_lost_notice_leaves_others_that_know) {
    group g(4);
    g.silent = {"h1", "h2"};
    g.members.at("h0")->note_begun(r1, "v1", life);
    g.f.run_until([&] { return g.remembering("r1") == 2; });
    g.silent = {"h0"};
    for (const char* host : {"h1", "h2"})
        cr_assert(g.find(host, r1).decision.version == "v1");
}

Test(origin_directory, an_answer_after_the_ticket_is_gone_is_ignored) {
    group g(3);
    bool called = false;
    {
        const auto ticket = g.members.at("h1")->find(
            r1, [&](const origin_answer&) { called = true; });
    }
    cr_assert(!g.members.at("h1")->receive("h0", "no message"));
    g.find("h1", {"", "r2", "llm"});
    cr_assert(!called);
}
