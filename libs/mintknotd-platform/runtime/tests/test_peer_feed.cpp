#include "peer_feed.hpp"
#include "plain_codec.hpp"

#include <criterion/criterion.h>

#include <optional>
#include <vector>

using namespace mintknot;
using namespace mintknot::runtime;

namespace {

constexpr auto servers = state::collection::servers;
constexpr base::milliseconds long_wait{10000};
constexpr base::milliseconds short_wait{20};

struct fixture {
    fixture()
        : log(-1, "test", {})
        , copy(codec, log, {[](auto) {}, [](auto&, auto, auto) {}})
        , feed(
              owner, copy, [this](state::collection) { return position; },
              [this](state::collection) { return confirmed; }) {}
    /// Sends a request and stops the loop when it is answered.
    void ask(std::uint64_t after, base::milliseconds wait) {
        feed.ask(
            {servers, after, wait}, [this](const relay::local_answer& answer) {
                answers.push_back(answer);
                owner.stop();
            });
    }
    state::store_answer read() const {
        return *state::store_answer_from(answers.back().body);
    }
    event::loop owner;
    state::tests::plain_codec codec;
    logging::line_log log;
    state::replica copy;
    std::optional<std::uint64_t> position;
    std::optional<base::steady_time> confirmed;
    peer_feed feed;
    std::vector<relay::local_answer> answers;
};

} // namespace

Test(peer_feed, known_changes_are_told_at_once) {
    fixture f;
    f.copy.apply_whole(servers, {{"i", 3, "s"}, {"j", 7, "s"}}, 7, "store");
    f.position = 7;
    f.ask(3, long_wait);
    cr_assert(f.answers.size() == 1);
    cr_assert(f.read().version == 7);
    cr_assert(f.read().documents.size() == 1);
    cr_assert(f.read().documents[0].key == "j");
}

Test(peer_feed, a_request_is_held_until_there_is_a_change) {
    fixture f;
    f.copy.apply_whole(servers, {{"i", 3, "s"}}, 3, "store");
    f.position = 3;
    f.ask(3, long_wait);
    cr_assert(f.answers.empty());
    f.copy.apply(servers, {{"i", 5, std::nullopt}}, "store");
    f.position = 5;
    f.feed.confirmed(servers);
    cr_assert(f.answers.size() == 1);
    cr_assert(!f.read().documents[0].text.has_value());
}

Test(peer_feed, without_changes_the_position_is_told_in_the_end) {
    fixture f;
    f.copy.apply_whole(servers, {{"i", 3, "s"}}, 3, "store");
    f.position = 9;
    f.ask(4, short_wait);
    cr_assert(f.answers.empty());
    f.owner.run();
    cr_assert(f.read().version == 9);
    cr_assert(f.read().documents.empty());
}

Test(peer_feed, what_the_store_has_not_told_is_not_told) {
    fixture f;
    f.copy.apply_whole(servers, {{"i", 3, "s"}}, 3, "store");
    // From a peer's snapshot: versions between 3 and 8 may be missing.
    f.copy.apply(servers, {{"k", 8, "s"}}, "peer");
    f.position = 3;
    f.ask(3, short_wait);
    f.owner.run();
    cr_assert(f.read().documents.empty());
    cr_assert(f.read().version == 3);
}

Test(peer_feed, a_loss_of_the_store_ends_what_is_held) {
    fixture f;
    f.copy.apply_whole(servers, {{"i", 3, "s"}}, 3, "store");
    f.position = 3;
    f.ask(3, long_wait);
    f.position = std::nullopt;
    f.feed.confirmed(servers);
    cr_assert(f.answers.size() == 1);
    cr_assert(f.answers[0].status == 503);
}

Test(peer_feed, a_confirmation_is_told_at_once) {
    // If it were held until the wait ends, each instance on the path would add
    // its wait to the age of its data.
    fixture f;
    f.copy.apply_whole(servers, {{"i", 3, "s"}}, 3, "store");
    f.position = 3;
    f.ask(3, long_wait);
    cr_assert(f.answers.empty());
    const base::steady_time asked = f.owner.now();
    f.confirmed = asked + base::milliseconds(70);
    f.feed.confirmed(servers);
    cr_assert(f.answers.size() == 1);
    cr_assert(f.read().documents.empty());
    const auto answer = state::store_answer_from(f.answers[0].body, asked);
    cr_assert(*answer->confirmed >= asked + base::milliseconds(65));
    cr_assert(*answer->confirmed <= asked + base::milliseconds(71));
}

Test(peer_feed, an_instance_without_the_store_confirms_nothing) {
    fixture f;
    f.copy.apply_whole(servers, {{"i", 3, "s"}}, 3, "store");
    f.confirmed = f.owner.now();
    f.ask(3, long_wait);
    cr_assert(f.answers.back().status == 503);
}
