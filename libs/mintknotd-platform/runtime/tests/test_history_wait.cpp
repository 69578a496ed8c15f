#include "document_sync.hpp"
#include "plain_codec.hpp"

#include <mintknot/relay/local_server.hpp>
#include <mintknot/state/store_version.hpp>

#include <criterion/criterion.h>

using namespace mintknot;
using namespace mintknot::runtime;

namespace {

constexpr base::milliseconds patience{200};

/// A store that has been restored from a backup; its watches never end.
class restored_store final : public state::store {
public:
    explicit restored_store(event::loop& owner)
        : owner_(owner) {}
    void read(state::collection what, state::store_handler on_answer) override {
        state::store_answer answer;
        answer.result = state::store_result::ok;
        answer.version = state::make_version(2, 9);
        answer.documents = {
            {what == state::collection::configuration ? "config" : "server",
             state::make_version(2, 5), "text"}};
        owner_.post([=] { on_answer(answer); });
    }
    void watch(
        state::collection, std::uint64_t, base::milliseconds,
        state::store_handler) override {}
    void write(
        state::collection, const std::string&, std::uint64_t,
        const std::string&, state::write_handler) override {}

private:
    event::loop& owner_;
};

/// An instance that starts, and a peer that has known the store for long.
struct fixture {
    explicit fixture(bool has_peers)
        : log(-1, "test", {})
        , store(owner)
        , pool(owner)
        , history(codec, log, {[](auto) {}, [](auto&, auto, auto) {}, {}, {}})
        , peer(owner, relay::synchronous_handler([this](auto&) {
                   return relay::local_answer{
                       200, "application/json",
                       history.snapshot(
                           {state::collection::configuration,
                            state::collection::servers})};
               })) {
        for (const auto what :
             {state::collection::configuration, state::collection::servers})
            history.apply_whole(what, {}, state::make_version(0, 9), "store");
        cr_assert(peer.open({"127.0.0.1", 0}).ok());
        documents = std::make_unique<document_sync>(
            document_ports{owner, store, codec, pool, log, [] { return 0.5; }},
            document_options{
                {"127.0.0.2", peer.port()},
                "a",
                base::milliseconds{2000},
                base::milliseconds{2000},
                [] { return policy::store_access{}; },
                has_peers},
            document_handlers{
                [this](auto) { configured = true; }, [](auto&, auto, auto) {},
                [] { return std::size_t{1}; }});
        documents->start(base::milliseconds{0});
    }
    void run_for(base::milliseconds time) {
        event::timer limit(owner);
        limit.start(time, [this] { owner.stop(); });
        owner.run();
    }
    void hear_peer() {
        peers::heartbeat told;
        told.configuration = 1;
        told.servers = 1;
        told.data_centre = "a";
        documents->on_heartbeat("127.0.0.1", told);
    }
    event::loop owner;
    logging::line_log log;
    state::tests::plain_codec codec;
    restored_store store;
    upstream::connection_pool pool;
    state::replica history;
    relay::local_server peer;
    bool configured = false;
    std::unique_ptr<document_sync> documents;
};

} // namespace

// Guards against an instance that starts after a restore and sends requests to
// servers that had said before it that they leave.
Test(history_wait, nothing_is_served_before_a_peer_has_told_what_it_knows) {
    fixture f(true);
    f.run_for(patience);
    cr_assert(!f.configured);
    f.hear_peer();
    f.run_for(patience);
    cr_assert(f.configured);
}

Test(history_wait, an_instance_whose_peers_are_silent_serves_in_the_end) {
    fixture f(true);
    f.run_for(
        policy::max_history_wait(policy::told_history::nothing) + patience);
    cr_assert(f.configured);
}

// Guards against a long wait when all instances start together.
Test(history_wait, instances_that_start_together_wait_for_a_short_time) {
    const auto wait = [](policy::told_history told) {
        return policy::max_history_wait(told);
    };
    cr_assert(wait(policy::told_history::all) == base::milliseconds{0});
    cr_assert(
        wait(policy::told_history::ignorance) <
        wait(policy::told_history::nothing));
}

Test(history_wait, an_instance_without_peers_does_not_wait) {
    fixture f(false);
    f.run_for(patience);
    cr_assert(f.configured);
}
