#include "shared_store.hpp"

#include <mintknot/relay/local_server.hpp>

#include <criterion/criterion.h>

#include <list>
#include <optional>
#include <set>

using namespace mintknot;
using namespace mintknot::runtime;

namespace {

constexpr auto servers = state::collection::servers;
constexpr base::milliseconds store_wait{10000};
constexpr base::milliseconds test_limit{20000};

/// Counts calls and answers with version 100.
class counting_store final : public state::store {
public:
    explicit counting_store(event::loop& owner)
        : owner_(owner) {}
    void read(state::collection, state::store_handler on_answer) override {
        ++reads;
        owner_.post([on_answer] {
            on_answer({state::store_result::ok, {}, 100});
        });
    }
    void watch(
        state::collection, std::uint64_t, base::milliseconds wait,
        state::store_handler on_answer) override {
        ++watches;
        last_wait = wait;
        owner_.post([on_answer] {
            on_answer({state::store_result::ok, {}, 100});
        });
    }
    void write(
        state::collection, const std::string&, std::uint64_t,
        const std::string&, state::write_handler) override {}
    int reads = 0;
    int watches = 0;
    base::milliseconds last_wait{0};

private:
    event::loop& owner_;
};

/// A shared_store and readers that answer its watches, all on one port.
struct fixture {
    fixture()
        : log(-1, "test", {})
        , source(owner)
        , pool(owner)
        , limit(owner) {}

    /// Adds a reader with a fixed answer at a loopback address.
    void
    add_reader(const std::string& host, const relay::local_answer& answer) {
        asked[host] = 0;
        listening.emplace_back(
            owner,
            [this, host, answer](
                const http1::request_head&, const relay::local_reply& reply) {
                ++asked[host];
                reply(answer);
            });
        cr_assert(listening.back().open({host, port}).ok());
        port = listening.back().port();
        readers.push_back(host);
    }

    void open() {
        if (!shared)
            shared.emplace(
                owner, source, pool, log,
                shared_store_options{
                    "127.0.0.9", port,
                    [this] {
                        return policy::store_access{
                            readers, store_is_fallback, shares_reads};
                    },
                    [this](state::collection what)
                        -> std::optional<base::steady_time> {
                        if (what != overdue)
                            return std::nullopt;
                        return owner.now();
                    }});
    }

    state::store_answer read() {
        open();
        std::optional<state::store_answer> result;
        shared->read(servers, [&](const state::store_answer& answer) {
            result = answer;
            owner.stop();
        });
        owner.run();
        cr_assert(result.has_value());
        return *result;
    }

    state::store_answer watch(state::collection what = servers) {
        open();
        std::optional<state::store_answer> result;
        shared->watch(
            what, 3, store_wait, [&](const state::store_answer& answer) {
                result = answer;
                owner.stop();
            });
        limit.start(test_limit, [this] { owner.stop(); });
        owner.run();
        cr_assert(result.has_value());
        return *result;
    }

    event::loop owner;
    logging::line_log log;
    counting_store source;
    upstream::connection_pool pool;
    event::timer limit;
    std::uint16_t port = 0;
    std::list<relay::local_server> listening;
    std::map<std::string, int> asked;
    std::vector<std::string> readers;
    bool store_is_fallback = true;
    std::optional<state::collection> overdue;
    bool shares_reads = false;
    std::optional<shared_store> shared;
};

relay::local_answer good(std::uint64_t version) {
    state::store_answer message;
    message.version = version;
    message.documents = {{"i", version, "s"}};
    return {200, "application/json", state::to_body(message)};
}

const relay::local_answer no_store{503, "text/plain", "no store\n"};

} // namespace

Test(shared_store, watches_go_to_the_readers_in_turn) {
    fixture f;
    f.add_reader("127.0.0.1", good(7));
    f.add_reader("127.0.0.2", good(8));
    for (int i = 0; i < 4; ++i)
        cr_assert(f.watch().result == state::store_result::ok);
    cr_assert(f.asked["127.0.0.1"] == 2);
    cr_assert(f.asked["127.0.0.2"] == 2);
    cr_assert(f.source.watches == 0);
}

Test(shared_store, each_collection_takes_the_readers_in_turn) {
    // Otherwise the alternating watches of two collections would each always
    // use the same reader, and get no changes if that one is cut off.
    fixture f;
    f.add_reader("127.0.0.1", good(7));
    f.add_reader("127.0.0.2", good(8));
    std::set<std::uint64_t> heard;
    for (int i = 0; i < 4; ++i) {
        heard.insert(f.watch(servers).version);
        f.watch(state::collection::configuration);
    }
    cr_assert(heard.size() == 2);
}

Test(shared_store, a_reader_without_the_store_is_passed_over) {
    fixture f;
    f.add_reader("127.0.0.1", no_store);
    f.add_reader("127.0.0.2", good(8));
    for (int i = 0; i < 4; ++i)
        cr_assert(f.watch().version == 8);
    cr_assert(f.asked["127.0.0.1"] == 1);
    cr_assert(f.source.watches == 0);
}

Test(shared_store, without_a_reader_the_store_is_asked) {
    fixture f;
    cr_assert(f.watch().version == 100);
    f.add_reader("127.0.0.1", no_store);
    f.shared.reset();
    cr_assert(f.watch().version == 100);
    cr_assert(f.source.watches == 2);
    cr_assert(f.source.last_wait == store_wait);
}

Test(shared_store, a_reader_asks_the_store_itself) {
    fixture f;
    f.add_reader("127.0.0.1", good(7));
    f.readers.emplace_back("127.0.0.9");
    cr_assert(f.watch().version == 100);
    cr_assert(f.asked["127.0.0.1"] == 0);
}

Test(shared_store, malformed_answers_are_not_taken) {
    fixture f;
    f.add_reader("127.0.0.1", {200, "application/json", "{\"version\":5}"});
    cr_assert(f.watch().version == 100);
}

Test(shared_store, what_a_reader_has_forgotten_is_read_anew) {
    fixture f;
    f.add_reader("127.0.0.1", {410, "text/plain", "forgotten\n"});
    cr_assert(f.watch().result == state::store_result::history_gone);
}

Test(shared_store, who_has_others_to_stand_in_waits_for_them) {
    fixture f;
    f.store_is_fallback = false;
    f.add_reader("127.0.0.1", no_store);
    f.add_reader("127.0.0.2", no_store);
    for (int i = 0; i < 4; ++i)
        cr_assert(f.watch().result == state::store_result::unreachable);
    cr_assert(f.asked["127.0.0.1"] == 1, "asked again during its backoff");
    cr_assert(f.source.watches == 0);
}

Test(shared_store, where_nobody_answers_the_store_is_asked_all_the_same) {
    fixture f;
    f.store_is_fallback = false;
    f.add_reader("127.0.0.1", good(7));
    f.readers = {"127.0.0.3"}; // Nothing listens there.
    cr_assert(f.watch().version == 100);
    cr_assert(f.source.watches == 1);
}

Test(shared_store, an_overdue_confirmation_comes_from_the_store_itself) {
    // Both readers of a data centre cannot reach the store; the others can.
    constexpr auto configuration = state::collection::configuration;
    fixture f;
    f.store_is_fallback = false;
    f.add_reader("127.0.0.1", no_store);
    f.add_reader("127.0.0.2", no_store);
    cr_assert(
        f.watch(configuration).result == state::store_result::unreachable);
    f.overdue = configuration;
    cr_assert(f.watch(configuration).version == 100);
    cr_assert(f.source.last_wait < store_wait);
    // Each collection separately.
    cr_assert(f.watch(servers).result == state::store_result::unreachable);
    // Not each time, because calls to the store are billed.
    cr_assert(
        f.watch(configuration).result == state::store_result::unreachable);
    cr_assert(f.source.watches == 1);
}

Test(shared_store, a_confirmation_of_a_reader_is_counted_from_the_question) {
    fixture f;
    state::store_answer message;
    message.version = 7;
    const base::steady_time elsewhere{};
    message.confirmed = elsewhere - base::milliseconds(300);
    f.add_reader(
        "127.0.0.1",
        {200, "application/msgpack", state::to_body(message, elsewhere)});
    const base::steady_time before = f.owner.now();
    const state::store_answer answer = f.watch();
    cr_assert(*answer.confirmed >= before - base::milliseconds(300));
    cr_assert(*answer.confirmed <= f.owner.now() - base::milliseconds(300));
}

Test(shared_store, whole_reads_go_to_the_store) {
    fixture f;
    f.add_reader("127.0.0.1", good(7));
    cr_assert(f.read().version == 100);
    cr_assert(f.source.reads == 1 && f.asked["127.0.0.1"] == 0);
}

Test(shared_store, shared_reads_go_to_readers) {
    fixture f;
    f.shares_reads = true;
    f.add_reader("127.0.0.1", good(7));
    const state::store_answer answer = f.read();
    cr_assert(answer.result == state::store_result::ok);
    cr_assert(answer.version == 7 && answer.documents.size() == 1);
    cr_assert(f.source.reads == 0);
}

Test(shared_store, a_reader_that_has_not_read_yet_is_asked_again) {
    fixture f;
    f.shares_reads = true;
    f.add_reader("127.0.0.1", no_store);
    for (int i = 0; i < 3; ++i)
        cr_assert(f.read().result == state::store_result::unreachable);
    cr_assert(f.asked["127.0.0.1"] == 3);
    cr_assert(f.source.reads == 0);
}

Test(shared_store, a_reader_reads_the_store_whole) {
    fixture f;
    f.shares_reads = true;
    f.add_reader("127.0.0.1", good(7));
    f.readers.emplace_back("127.0.0.9");
    cr_assert(f.read().version == 100);
}
