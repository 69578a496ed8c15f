#include <mintknot/rpc/peer_client.hpp>
#include <mintknot/rpc/peer_server.hpp>

#include <criterion/criterion.h>

#include <thread>

using namespace mintknot;

namespace {

/// Answers from fields that the tests set.
class fixed_handler final : public rpc::peer_handler {
public:
    void place(
        const routing::place_query& query, rpc::placed_callback done) override {
        last_query = query;
        // Answered later, from another thread, as the control thread does.
        later = std::thread([this, done] { done(answer); });
    }
    void report(rpc::progress_batch batch) override { last_batch = batch; }
    void attach(
        const rpc::attach_request& request,
        const rpc::attach_sink& sink) override {
        std::uint64_t offset = request.offset;
        while (sink({offset, "t" + std::to_string(offset), "", {}})) {
            if (++offset == 5) {
                sink({offset, "", "stop", {}});
                return;
            }
        }
    }
    std::string explain(const std::string&) override { return "[]"; }
    rpc::config_page changes_since(std::uint64_t revision) override {
        rpc::config_page page;
        page.ready = true;
        page.revision = revision + 1;
        page.changes = {
            {revision + 1,
             "id",
             "ops",
             config::resource_kind::service,
             "s",
             false,
             {{"model", "m"}}}};
        return page;
    }
    std::vector<std::string>
    unknown_streams(const std::vector<std::string>& attempts) override {
        return {attempts.back()};
    }
    std::optional<rpc::found_stream>
    find_stream(const std::string& request) override {
        if (request != "known")
            return std::nullopt;
        return rpc::found_stream{"known.1d", "d1", {"127.0.0.1", 5}, "o"};
    }

    rpc::placed_request answer;
    routing::place_query last_query;
    rpc::progress_batch last_batch;
    std::thread later;
};

struct served_peer {
    served_peer() {
        cr_assert(server.start({"127.0.0.1", 0}).ok());
        where = {"127.0.0.1", static_cast<std::uint16_t>(server.port())};
    }
    ~served_peer() {
        if (handler.later.joinable())
            handler.later.join();
    }

    fixed_handler handler;
    rpc::peer_server server{handler};
    rpc::peer_client client;
    base::address where;
};

constexpr base::milliseconds long_enough{5000};

} // namespace

Test(peer, places_over_the_wire) {
    served_peer peer;
    peer.handler.answer.attempt = "abc";
    peer.handler.answer.decode_at = {"127.0.0.1", 9};
    routing::place_query query;
    query.prompt_tokens = 12;
    query.prefix = {{1, 0xffffffffffffffffULL}};
    query.excluded = {"e1"};
    const auto placed = peer.client.place(peer.where, query, long_enough);
    cr_assert(placed.ok());
    cr_assert(!placed->refused.has_value());
    cr_assert(placed->attempt == "abc");
    cr_assert(placed->decode_at == (base::address{"127.0.0.1", 9}));
    cr_assert(peer.handler.last_query.prefix == query.prefix);
    cr_assert(peer.handler.last_query.excluded == query.excluded);
}

Test(peer, refusals_keep_reason_and_verdict) {
    served_peer peer;
    peer.handler.answer.refused = base::refusal{
        base::reason::queue_full, "full", base::verdict::may_have_run,
        base::milliseconds{300}};
    const auto placed = peer.client.place(peer.where, {}, long_enough);
    cr_assert(placed.ok());
    cr_assert(placed->refused->code == base::reason::queue_full);
    cr_assert(placed->refused->run == base::verdict::may_have_run);
    cr_assert_eq(placed->refused->retry_after.count(), 300);
}

Test(peer, streams_are_read_to_the_end_or_left) {
    served_peer peer;
    std::string text;
    const auto whole = peer.client.attach(
        peer.where, {"r", "o", 2}, [&](const rpc::attach_event& event) {
            text += event.text + event.finish;
            return true;
        });
    cr_assert(whole.ok());
    cr_assert(text == "t2t3t4stop");
    int events = 0;
    const auto left = peer.client.attach(
        peer.where, {"r", "o", 0},
        [&](const rpc::attach_event&) { return ++events < 2; });
    cr_assert(!left.ok());
    cr_assert_eq(events, 2);
}

Test(peer, configuration_and_streams_are_asked_for) {
    served_peer peer;
    const auto page = peer.client.changes_since(peer.where, 6);
    cr_assert_eq(page->changes.at(0).revision, 7U);
    const auto unknown = peer.client.check_streams(peer.where, {"a", "b"});
    cr_assert(*unknown == std::vector<std::string>{"b"});
    cr_assert(peer.client
                  .report(
                      peer.where,
                      {"s", {{"a", routing::progress_phase::decoding, 3}}})
                  .ok());
    cr_assert(
        peer.handler.last_batch.lines.at(0).phase ==
        routing::progress_phase::decoding);
}

Test(peer, streams_on_engines_are_found) {
    served_peer peer;
    const auto found = peer.client.find_stream(peer.where, "known");
    cr_assert(found.ok());
    cr_assert(found->attempt == "known.1d" && found->organisation == "o");
    cr_assert(found->where == (base::address{"127.0.0.1", 5}));
    cr_assert(absl::IsNotFound(
        peer.client.find_stream(peer.where, "other").status()));
}

Test(peer, an_absent_peer_is_unavailable) {
    rpc::peer_client client;
    cr_assert(
        absl::IsUnavailable(client.explain({"127.0.0.1", 1}, "r").status()));
}
