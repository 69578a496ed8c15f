#include <mintknot/state/replica.hpp>

#include <criterion/criterion.h>

#include <map>
#include <set>

using namespace mintknot;
using namespace mintknot::state;

namespace {

/// "bad" cannot be read; anything else is a configuration or a server.
class test_codec final : public document_codec {
public:
    absl::StatusOr<traffic::configuration>
    read_configuration(std::string_view text) const override {
        if (text == "bad")
            return absl::InvalidArgumentError("bad");
        traffic::configuration value;
        value.version = text.size();
        return value;
    }
    absl::StatusOr<traffic::server>
    read_server(const std::string& id, std::string_view text) const override {
        if (text == "bad")
            return absl::InvalidArgumentError("bad");
        traffic::server value;
        value.id = id;
        value.service = std::string(text);
        return value;
    }
};

struct fixture {
    fixture()
        : log(-1, "test", {})
        , copy(
              codec, log,
              {[this](auto config) { configured = config->version; },
               [this](const std::string& id, std::uint64_t, auto server) {
                   servers[id] = server ? server->service : "gone";
               }}) {}
    test_codec codec;
    logging::line_log log;
    std::uint64_t configured = 0;
    std::map<std::string, std::string> servers;
    replica copy;
};

const auto configuration = collection::configuration;
const auto servers = collection::servers;

} // namespace

Test(replica, never_goes_back) {
    fixture f;
    f.copy.apply(configuration, {{"c", 5, "12345"}}, "a");
    f.copy.apply(configuration, {{"c", 4, "1234"}}, "b");
    cr_assert(f.configured == 5);
    cr_assert(f.copy.version(configuration) == 5);
}

Test(replica, what_cannot_be_read_leaves_in_force_what_was) {
    fixture f;
    f.copy.apply(configuration, {{"c", 5, "12345"}}, "a");
    f.copy.apply(configuration, {{"c", 6, "bad"}}, "a");
    cr_assert(f.configured == 5);
    cr_assert(f.copy.version(configuration) == 5);
    f.copy.apply(configuration, {{"c", 7, "1234567"}}, "a");
    cr_assert(f.configured == 7);
}

Test(replica, a_whole_read_removes_what_is_not_in_it) {
    fixture f;
    f.copy.apply_whole(servers, {{"i", 1, "s"}, {"j", 2, "s"}}, 2, "a");
    f.copy.apply_whole(servers, {{"j", 2, "s"}}, 9, "a");
    cr_assert(f.servers["i"] == "gone");
    cr_assert(f.servers["j"] == "s");
    // News from before the removal come too late.
    f.copy.apply(servers, {{"i", 8, "s"}}, "a");
    cr_assert(f.servers["i"] == "gone");
}

Test(replica, an_old_whole_read_removes_nothing_newer) {
    fixture f;
    f.copy.apply(servers, {{"i", 7, "s"}}, "a");
    f.copy.apply_whole(servers, {}, 5, "a");
    cr_assert(f.servers["i"] == "s");
}

Test(replica, a_snapshot_carries_everything) {
    fixture one;
    fixture two;
    one.copy.apply_whole(configuration, {{"c", 3, "123"}}, 3, "a");
    one.copy.apply_whole(servers, {{"i", 1, "s"}}, 4, "a");
    one.copy.apply(servers, {{"i", 6, std::nullopt}}, "a");
    two.copy.apply(servers, {{"i", 1, "s"}}, "a");
    cr_assert(
        two.copy
            .apply_snapshot(one.copy.snapshot({configuration, servers}), "peer")
            .ok());
    cr_assert(two.configured == 3);
    cr_assert(two.servers["i"] == "gone");
    cr_assert(two.copy.known(configuration));
    cr_assert(two.copy.version(servers) == 6);
}

Test(replica, a_malformed_snapshot_is_refused) {
    fixture f;
    for (const char* text :
         {"", "[]", "{}", R"({"configuration":{"documents":[{}]}})",
          R"({"configuration":{"documents":[],"known":true},"servers":7})"})
        cr_assert(!f.copy.apply_snapshot(text, "peer").ok());
    cr_assert(!f.copy.known(configuration));
}

Test(replica, a_snapshot_may_carry_one_collection) {
    fixture one;
    fixture two;
    one.copy.apply_whole(configuration, {{"c", 3, "123"}}, 3, "a");
    one.copy.apply_whole(servers, {{"i", 1, "s"}}, 4, "a");
    const std::string text = one.copy.snapshot({configuration});
    cr_assert(two.copy.apply_snapshot(text, "peer").ok());
    cr_assert(two.configured == 3);
    cr_assert(!two.copy.known(servers));
}

Test(replica, changes_lie_behind_one_version_and_up_to_another) {
    fixture f;
    cr_assert(!f.copy.changes(servers, 0, 9).has_value());
    f.copy.apply_whole(servers, {{"i", 1, "s"}, {"j", 2, "s"}}, 2, "a");
    f.copy.apply(servers, {{"i", 5, std::nullopt}, {"k", 7, "s"}}, "a");
    const auto found = f.copy.changes(servers, 2, 6);
    cr_assert(found.has_value());
    cr_assert(found->size() == 1);
    cr_assert((*found)[0].key == "i");
    cr_assert(!(*found)[0].text.has_value());
    cr_assert(f.copy.changes(servers, 7, 9)->empty());
}

Test(replica, changes_that_were_forgotten_are_not_told) {
    fixture f;
    f.copy.apply_whole(servers, {}, 1, "a");
    std::vector<document> removed;
    for (std::uint64_t i = 2; i < 5000; ++i)
        removed.push_back({"i" + std::to_string(i), i, std::nullopt});
    f.copy.apply(servers, removed, "a");
    cr_assert(!f.copy.changes(servers, 1, 6000).has_value());
    cr_assert(f.copy.changes(servers, 4999, 6000).has_value());
}

Test(replica, a_row_that_cannot_be_read_names_no_server) {
    fixture f;
    f.copy.apply(servers, {{"i", 3, "s"}, {"j", 4, "s"}}, "a");
    f.copy.apply(servers, {{"i", 5, "bad"}, {"k", 6, "bad"}}, "a");
    cr_assert(f.servers["i"] == "gone");
    cr_assert(f.servers["j"] == "s");
    cr_assert(f.copy.version(servers) == 6);
    // Old news of the good row come too late; a new one counts.
    f.copy.apply(servers, {{"i", 3, "s"}}, "a");
    cr_assert(f.servers["i"] == "gone");
    f.copy.apply(servers, {{"i", 7, "s"}}, "a");
    cr_assert(f.servers["i"] == "s");
}

Test(replica, peers_are_told_that_such_a_row_names_none) {
    fixture f;
    f.copy.apply_whole(servers, {{"i", 3, "s"}}, 3, "a");
    f.copy.apply(servers, {{"i", 5, "bad"}}, "a");
    const auto changes = f.copy.changes(servers, 3, 5);
    cr_assert(changes->size() == 1);
    cr_assert(!(*changes)[0].text);
}

Test(replica, is_not_current_while_a_newer_configuration_cannot_be_read) {
    fixture f;
    f.copy.apply(configuration, {{"c", 5, "12345"}}, "a");
    cr_assert(f.copy.is_current(configuration));
    f.copy.apply(configuration, {{"c", 6, "bad"}}, "a");
    cr_assert(!f.copy.is_current(configuration));
    f.copy.apply(configuration, {{"c", 7, "1234567"}}, "a");
    cr_assert(f.copy.is_current(configuration));
}

namespace {

std::vector<document> many_rows(int count) {
    std::vector<document> rows;
    for (int i = 0; i < count; ++i)
        rows.push_back(
            {std::to_string(i), static_cast<std::uint64_t>(i) + 1, "s"});
    return rows;
}

} // namespace

Test(replica, a_row_costs_the_same_in_a_large_fleet) {
    constexpr int rows = 20000;
    fixture f;
    f.copy.apply_whole(servers, many_rows(rows), rows, "a");
    cr_assert(f.copy.swept() == 0, "%lu documents", f.copy.swept());
}

Test(replica, a_removal_is_remembered_in_a_large_fleet) {
    constexpr int rows = 10000;
    fixture f;
    f.copy.apply_whole(servers, many_rows(rows), rows, "a");
    f.copy.apply(servers, {{"7", rows + 1, std::nullopt}}, "a");
    f.copy.apply(servers, {{"8", rows + 2, "t"}}, "a");
    const auto told = f.copy.changes(servers, rows, rows + 2);
    cr_assert(told && told->size() == 2);
}

namespace {

/// Hears of closed data centres.
struct closure_fixture {
    closure_fixture()
        : log(-1, "test", {})
        , copy(
              codec, log,
              {[](auto) {}, [](auto&, auto, auto) {},
               [this](const std::string& where, bool closed) {
                   ++told;
                   if (closed)
                       closures.insert(where);
                   else
                       closures.erase(where);
               }}) {}
    test_codec codec;
    logging::line_log log;
    std::set<std::string> closures;
    int told = 0;
    replica copy;
};

document
closure(const std::string& where, std::uint64_t version, bool closed = true) {
    return {
        where, version,
        closed ? std::optional<std::string>("{}") : std::nullopt,
        document_kind::closure};
}

} // namespace

Test(replica, closures_last_until_they_are_removed) {
    closure_fixture f;
    f.copy.apply_whole(
        configuration, {{"c", 5, "12345"}, closure("a", 6), closure("b", 7)}, 7,
        "s");
    cr_assert(f.closures == std::set<std::string>({"a", "b"}));
    cr_assert(f.copy.version(configuration) == 5);
    f.copy.apply(configuration, {closure("a", 9, false)}, "s");
    f.copy.apply(configuration, {closure("a", 8)}, "late");
    cr_assert(f.closures == std::set<std::string>({"b"}));
    // Closed again in quick succession; a whole read without it opens it.
    f.copy.apply(
        configuration,
        {closure("a", 10), closure("a", 11, false), closure("a", 12)}, "s");
    cr_assert(f.closures.contains("a"));
    f.copy.apply_whole(configuration, {{"c", 5, "12345"}}, 20, "s");
    cr_assert(f.closures.empty());
}

Test(replica, closures_are_passed_on) {
    closure_fixture from;
    from.copy.apply_whole(
        configuration, {{"c", 5, "12345"}, closure("a", 8)}, 8, "s");
    closure_fixture by_snapshot;
    const std::string text = from.copy.snapshot({configuration});
    cr_assert(by_snapshot.copy.apply_snapshot(text, "peer").ok());
    cr_assert(by_snapshot.closures.contains("a"));
    const auto told = from.copy.changes(configuration, 5, 8);
    cr_assert(told && told->size() == 1);
    closure_fixture by_changes;
    by_changes.copy.apply(configuration, *told, "peer");
    cr_assert(by_changes.closures.contains("a") && by_changes.told == 1);
}
