#include <mintknot/state/replica.hpp>
#include <mintknot/state/store_version.hpp>

#include <criterion/criterion.h>

#include <map>

using namespace mintknot;
using namespace mintknot::state;

namespace {

/// The version of a configuration is the length of its text. A server drains if
/// its text begins with "-", and has been restarted if it ends with "reborn".
class test_codec final : public document_codec {
public:
    absl::StatusOr<traffic::configuration>
    read_configuration(std::string_view text) const override {
        traffic::configuration value;
        value.version = text.size();
        return value;
    }
    absl::StatusOr<traffic::server>
    read_server(const std::string& id, std::string_view text) const override {
        traffic::server value;
        value.id = id;
        value.draining = text.starts_with("-");
        value.born = text.ends_with("reborn") ? 2 : 1;
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
                   servers[id] = !server            ? "gone"
                                 : server->draining ? "draining"
                                                    : "ready";
               },
               [this](const std::string& data_centre, bool closed) {
                   closures[data_centre] = closed;
               },
               [this](const std::string& id) { servers[id] = "draining"; }}) {}
    test_codec codec;
    logging::line_log log;
    std::uint64_t configured = 0;
    std::map<std::string, std::string> servers;
    std::map<std::string, bool> closures;
    replica copy;
};

const auto configuration = collection::configuration;
const auto servers = collection::servers;

std::uint64_t old_era(std::uint64_t counter) {
    return make_version(1, counter);
}

std::uint64_t new_era(std::uint64_t counter) {
    return make_version(2, counter);
}

document closure(const std::string& name, std::uint64_t version) {
    return {name, version, "", document_kind::closure};
}

} // namespace

Test(restored_store, versions_of_a_later_era_are_higher) {
    cr_assert(new_era(1) > old_era(max_counter));
    cr_assert(era_of(new_era(7)) == 2);
    cr_assert(counter_of(new_era(7)) == 7);
    cr_assert(make_version(0, 7) == 7);
}

Test(restored_store, changes_with_a_lower_counter_are_taken) {
    fixture f;
    f.copy.apply_whole(
        configuration, {{"c", old_era(32), "1"}}, old_era(32), "a");
    cr_assert(f.copy.apply_whole(
        configuration, {{"c", new_era(20), "1"}}, new_era(20), "a"));
    f.copy.apply(configuration, {{"c", new_era(21), "123"}}, "a");
    cr_assert(f.configured == 3);
    f.copy.apply(configuration, {{"c", old_era(40), "1234"}}, "peer");
    cr_assert(f.configured == 3, "changes of an earlier era are ignored");
}

Test(restored_store, an_older_configuration_does_not_replace_a_newer_one) {
    fixture f;
    f.copy.apply_whole(
        configuration, {{"c", old_era(32), "1234"}}, old_era(32), "a");
    f.copy.apply_whole(
        configuration, {{"c", new_era(20), "12"}}, new_era(20), "a");
    cr_assert(f.configured == 4);
    cr_assert(f.copy.is_current(configuration));
    const auto changes =
        f.copy.changes(configuration, old_era(32), new_era(20));
    cr_assert(changes->size() == 1);
    cr_assert(
        changes->front().text == "1234",
        "peers receive the configuration in force");
    f.copy.apply(configuration, {{"c", new_era(21), "12345"}}, "a");
    cr_assert(f.configured == 5);
}

Test(restored_store, a_draining_server_stays_draining) {
    fixture f;
    f.copy.apply_whole(
        servers, {{"a", old_era(5), "-"}, {"b", old_era(6), "-"}}, old_era(6),
        "a");
    f.copy.apply_whole(
        servers, {{"a", new_era(2), "x"}, {"b", new_era(3), "reborn"}},
        new_era(4), "a");
    cr_assert(f.servers["a"] == "draining");
    cr_assert(f.servers["b"] == "ready", "the server has been restarted");
    f.copy.apply_whole(
        servers, {{"a", new_era(2), "x"}, {"b", new_era(3), "reborn"}},
        new_era(9), "a");
    cr_assert(f.servers["a"] == "draining");
    fixture from_peer;
    from_peer.copy.apply_whole(
        servers, {{"a", old_era(5), "-"}}, old_era(6), "a");
    from_peer.copy.apply(servers, {{"a", new_era(2), "x"}}, "peer");
    cr_assert(from_peer.servers["a"] == "draining", "a peer read the backup");
    f.copy.apply(servers, {{"a", new_era(10), "y"}}, "a");
    cr_assert(f.servers["a"] == "ready", "written in the new era");
}

Test(
    restored_store, a_removed_server_returns_after_a_write_or_the_second_read) {
    fixture f;
    f.copy.apply_whole(
        servers, {{"a", old_era(5), "x"}, {"b", old_era(5), "x"}}, old_era(6),
        "a");
    f.copy.apply(
        servers,
        {{"a", old_era(7), std::nullopt}, {"b", old_era(8), std::nullopt}},
        "a");
    const std::vector<document> backup = {
        {"a", new_era(5), "x"}, {"b", new_era(5), "x"}};
    f.copy.apply_whole(servers, backup, new_era(6), "a");
    cr_assert(f.servers["a"] == "gone");
    cr_assert(f.servers["b"] == "gone");
    f.copy.apply(servers, {{"a", new_era(7), "x"}}, "a");
    cr_assert(f.servers["a"] == "ready");
    f.copy.apply_whole(servers, backup, new_era(9), "a");
    cr_assert(f.servers["b"] == "ready", "still present in the second read");
}

Test(
    restored_store,
    documents_missing_from_the_backup_are_removed_by_the_second_read) {
    fixture f;
    f.copy.apply_whole(servers, {{"a", old_era(5), "x"}}, old_era(6), "a");
    f.copy.apply_whole(
        configuration, {{"c", old_era(6), "1"}, closure("hall", old_era(7))},
        old_era(7), "a");
    cr_assert(f.copy.apply_whole(servers, {}, new_era(4), "a"));
    cr_assert(f.copy.apply_whole(
        configuration, {{"c", new_era(4), "1"}}, new_era(4), "a"));
    cr_assert(f.servers["a"] == "ready");
    cr_assert(f.closures["hall"]);
    cr_assert(!f.copy.apply_whole(servers, {}, new_era(8), "a"));
    cr_assert(!f.copy.apply_whole(
        configuration, {{"c", new_era(4), "1"}}, new_era(8), "a"));
    cr_assert(f.servers["a"] == "gone");
    cr_assert(!f.closures["hall"]);
}

Test(restored_store, a_reopened_data_centre_stays_open) {
    fixture f;
    f.copy.apply_whole(
        configuration, {{"c", old_era(6), "1"}, closure("hall", old_era(7))},
        old_era(7), "a");
    f.copy.apply(
        configuration,
        {{"hall", old_era(8), std::nullopt, document_kind::closure}}, "a");
    f.copy.apply_whole(
        configuration, {{"c", new_era(4), "1"}, closure("hall", new_era(5))},
        new_era(5), "a");
    cr_assert(!f.closures["hall"]);
    f.copy.apply(configuration, {closure("hall", new_era(6))}, "a");
    cr_assert(f.closures["hall"]);
}

Test(restored_store, an_instance_that_starts_learns_of_draining_servers) {
    fixture peer;
    peer.copy.apply_whole(
        servers, {{"a", old_era(5), "-"}, {"b", old_era(5), "-"}}, old_era(6),
        "store");
    const std::vector<document> backup = {
        {"a", new_era(2), "x"}, {"b", new_era(3), "reborn"}};
    peer.copy.apply_whole(servers, backup, new_era(4), "store");
    fixture started;
    started.copy.apply_whole(servers, backup, new_era(4), "store");
    cr_assert(started.servers["a"] == "ready", "the backup says so");
    cr_assert(started.copy.lacks_history());
    cr_assert(
        started.copy.apply_snapshot(peer.copy.snapshot({servers}), "p").ok());
    cr_assert(started.servers["a"] == "draining");
    cr_assert(started.servers["b"] == "ready", "the server has been restarted");
    cr_assert(!started.copy.lacks_history());
    fixture before_the_peer;
    before_the_peer.copy.apply_whole(servers, backup, new_era(4), "store");
    before_the_peer.copy.apply(servers, {{"a", old_era(5), "-"}}, "p");
    cr_assert(
        before_the_peer.servers["a"] == "draining",
        "the peer has not read the restored store yet");
    started.copy.apply(servers, {{"a", new_era(9), "y"}}, "store");
    cr_assert(started.servers["a"] == "ready", "written in the new era");
}

// Guards against an instance that starts with the older configuration of a
// backup and keeps it, as the peers' newer one stands in the same row.
Test(restored_store, an_instance_that_starts_learns_of_a_newer_configuration) {
    fixture peer;
    peer.copy.apply_whole(
        configuration, {{"c", old_era(32), "1234"}}, old_era(32), "store");
    const std::vector<document> backup = {{"c", new_era(20), "12"}};
    peer.copy.apply_whole(configuration, backup, new_era(20), "store");
    fixture started;
    started.copy.apply_whole(configuration, backup, new_era(20), "store");
    cr_assert(started.configured == 2);
    cr_assert(started.copy.lacks_history());
    cr_assert(
        started.copy.apply_snapshot(peer.copy.snapshot({configuration}), "p")
            .ok());
    cr_assert(started.configured == 4);
    cr_assert(!started.copy.lacks_history());
    started.copy.apply(configuration, {{"c", new_era(21), "12345"}}, "store");
    cr_assert(started.configured == 5);
}

// Guards against two instances that start together and take each other's
// knowledge for that of before the restore.
Test(restored_store, a_peer_without_history_does_not_end_the_lack_of_it) {
    const std::vector<document> backup = {{"a", new_era(2), "x"}};
    fixture first;
    fixture second;
    first.copy.apply_whole(servers, backup, new_era(4), "store");
    second.copy.apply_whole(servers, backup, new_era(4), "store");
    const std::string told = first.copy.snapshot({servers});
    cr_assert(second.copy.apply_snapshot(told, "p").ok());
    cr_assert(second.copy.lacks_history());
    second.copy.accept_any_history();
    cr_assert(second.copy.apply_snapshot(told, "p").ok());
    cr_assert(!second.copy.lacks_history());
}

Test(restored_store, a_store_that_was_never_restored_needs_no_peer) {
    fixture f;
    f.copy.apply_whole(servers, {{"a", 5, "x"}}, 6, "store");
    cr_assert(!f.copy.lacks_history());
}

Test(restored_store, a_read_after_a_snapshot_of_the_same_era_is_no_restore) {
    fixture first;
    first.copy.apply_whole(servers, {{"a", new_era(5), "x"}}, new_era(6), "a");
    fixture f;
    cr_assert(f.copy.apply_snapshot(first.copy.snapshot({servers}), "p").ok());
    cr_assert(f.servers["a"] == "ready");
    cr_assert(!f.copy.apply_whole(servers, {}, new_era(8), "a"));
    cr_assert(f.servers["a"] == "gone");
}
