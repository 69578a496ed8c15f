#include "document_sync.hpp"
#include "plain_codec.hpp"

#include <criterion/criterion.h>

using namespace mintknot;
using namespace mintknot::runtime;

namespace {

/// Contains 2,000 servers; its watches never end.
class full_store final : public state::store {
public:
    explicit full_store(event::loop& owner)
        : owner_(owner) {}
    void read(state::collection what, state::store_handler on_answer) override {
        state::store_answer answer;
        answer.result = state::store_result::ok;
        answer.version = 9;
        if (what == state::collection::configuration)
            answer.documents = {{"config", 5, "text"}};
        else
            for (int i = 0; i < 2000; ++i)
                answer.documents.push_back(
                    {"i" + std::to_string(i), 6, std::string(1000, 'a')});
        owner_.post([=] { on_answer(answer); });
    }
    void watch(
        state::collection, std::uint64_t, base::milliseconds,
        state::store_handler) override {
        if (++watches == 2)
            owner_.stop();
    }
    void write(
        state::collection, const std::string&, std::uint64_t,
        const std::string&, state::write_handler) override {}
    int watches = 0;

private:
    event::loop& owner_;
};

struct fixture {
    fixture()
        : log(-1, "test", {})
        , store(owner)
        , pool(owner)
        , documents(
              {owner, store, codec, pool, log, [] { return 0.5; }},
              {{"127.0.0.1", 1},
               "a",
               base::milliseconds{2000},
               base::milliseconds{2000},
               [] { return policy::store_access{}; }},
              {[](auto) {}, [this](auto&, auto, auto) { ++servers; },
               [this] { return servers; }, nullptr, nullptr, nullptr, nullptr,
               nullptr, [this] { servers = 0; }}) {
        documents.start(base::milliseconds{0});
        owner.run();
    }
    int status_of(std::string_view path) {
        int status = 0;
        http1::request_head head;
        head.method = "GET";
        head.target = std::string(path);
        documents.answer(head, [&](const relay::local_answer& answer) {
            status = answer.status;
        });
        return status;
    }
    event::loop owner;
    logging::line_log log;
    state::tests::plain_codec codec;
    full_store store;
    upstream::connection_pool pool;
    std::size_t servers = 0;
    document_sync documents;
};

} // namespace

Test(document_sync, reads_both_collections) {
    fixture f;
    cr_assert(f.documents.known());
    cr_assert(f.servers == 2000);
    cr_assert(f.documents.version(state::collection::configuration) == 5);
}

Test(document_sync, many_askers_do_not_fill_the_memory) {
    // Found with 300 instances: after all had been killed, a hundred of them
    // fetched 750 KB from the one that was ready first, whose memory grew to 62
    // of its 88 MB.
    fixture f;
    cr_assert(f.status_of(snapshot_path) == 200);
    cr_assert(f.status_of(snapshot_path) == 503);
    cr_assert(f.status_of("/") == 404);
}

// An instance that became one without rows again, before it had caught up, kept
// the old rows, and sent requests to servers that had left since.
Test(document_sync, rows_that_are_not_followed_are_forgotten) {
    fixture f;
    f.documents.set_scope(document_scope::configuration);
    cr_assert(f.servers == 0);
    f.documents.set_scope(document_scope::everything);
    cr_assert(f.servers == 2000);
    cr_assert(!f.documents.knows_servers());
    f.documents.set_scope(document_scope::configuration);
    cr_assert(f.servers == 0);
}

Test(document_sync, a_scope_that_is_told_again_forgets_nothing) {
    fixture f;
    f.documents.set_scope(document_scope::everything);
    cr_assert(f.servers == 2000);
    f.documents.set_scope(document_scope::configuration);
    f.servers = 1; // Named by a scheduler since.
    f.documents.set_scope(document_scope::configuration);
    cr_assert(f.servers == 1);
}
