#include "plain_codec.hpp"

#include <mintknot/state/store_reader.hpp>
#include <mintknot/state/store_version.hpp>

#include <criterion/criterion.h>

#include <deque>

using namespace mintknot;
using namespace mintknot::state;

namespace {

/// Answers with prepared answers, then never again.
class scripted_store final : public store {
public:
    explicit scripted_store(event::loop& owner)
        : owner_(owner) {}
    void read(collection, store_handler on_answer) override {
        calls.emplace_back("read");
        answer(on_answer);
    }
    void watch(
        collection, std::uint64_t after, base::milliseconds wait,
        store_handler on_answer) override {
        calls.push_back("watch " + std::to_string(after));
        waits.push_back(wait);
        answer(on_answer);
    }
    void write(
        collection, const std::string&, std::uint64_t, const std::string&,
        write_handler) override {}
    std::vector<std::string> calls;
    std::vector<base::milliseconds> waits; ///< Of the watches.
    std::deque<store_answer> answers;

private:
    void answer(const store_handler& on_answer) {
        if (answers.empty()) {
            owner_.post([this] { owner_.stop(); });
            return;
        }
        owner_.post([on_answer, next = answers.front()] { on_answer(next); });
        answers.pop_front();
    }
    event::loop& owner_;
};

constexpr base::milliseconds reread_delay{0};

struct fixture {
    explicit fixture(base::milliseconds gather = base::milliseconds(1))
        : source(owner)
        , log(-1, "test", {})
        , copy(codec, log, {[](auto) {}, [](auto&, auto, auto) {}})
        , reader(
              owner, source, copy, collection::servers, log,
              {base::milliseconds(1000), base::milliseconds(50),
               base::milliseconds(1), base::milliseconds(2), gather,
               reread_delay},
              [] { return 0.5; }) {}
    void run() {
        reader.start();
        owner.run();
    }
    event::loop owner;
    scripted_store source;
    tests::plain_codec codec;
    logging::line_log log;
    replica copy;
    store_reader reader;
};

store_answer good(std::uint64_t version, std::vector<document> rows = {}) {
    return {store_result::ok, std::move(rows), version};
}

using calls = std::vector<std::string>;

} // namespace

Test(store_reader, reads_once_and_follows_the_changes) {
    fixture f;
    f.source.answers = {good(4, {{"i", 3, "x"}}), good(7, {{"j", 7, "x"}})};
    f.run();
    cr_assert(f.source.calls == (calls{"read", "watch 4", "watch 7"}));
    cr_assert(f.copy.version(collection::servers) == 7);
}

Test(store_reader, reads_anew_where_history_is_gone) {
    fixture f;
    f.source.answers = {good(4), {store_result::history_gone, {}, 0}, good(9)};
    f.run();
    cr_assert(f.source.calls == (calls{"read", "watch 4", "read", "watch 9"}));
}

Test(store_reader, goes_on_where_it_was_after_a_failure) {
    fixture f;
    f.source.answers = {
        good(4),
        {store_result::unreachable, {}, 0},
        {store_result::refused, {}, 0},
        good(5)};
    f.run();
    cr_assert(
        f.source.calls ==
        (calls{"read", "watch 4", "watch 4", "watch 4", "watch 5"}));
}

Test(store_reader, a_lost_store_is_not_waited_for_long) {
    // Found by a hunt: the store's return was noticed only with the next
    // change, seconds later, and a leaving server was taken for a lapsed one.
    fixture f;
    f.source.answers = {good(4), {store_result::refused, {}, 0}, good(4)};
    f.run();
    const std::vector<base::milliseconds> expected{
        base::milliseconds(1000), base::milliseconds(50),
        base::milliseconds(1000)};
    cr_assert(f.source.waits == expected);
}

Test(store_reader, a_read_older_than_what_is_known_is_made_again) {
    fixture f;
    f.source.answers = {
        good(8), {store_result::history_gone, {}, 0}, good(6), good(9)};
    f.run();
    cr_assert(
        f.source.calls ==
        (calls{"read", "watch 8", "read", "read", "watch 9"}));
}

Test(store_reader, a_restored_store_is_read_again) {
    fixture f;
    const std::uint64_t restored = make_version(2, 3);
    f.source.answers = {
        good(make_version(1, 8)),
        {store_result::history_gone, {}, 0},
        good(restored),
        good(restored + 4),
        good(restored + 4)};
    f.run();
    const std::string watch = "watch " + std::to_string(restored + 4);
    cr_assert(
        f.source.calls ==
        (calls{
            "read", "watch " + std::to_string(make_version(1, 8)), "read",
            "read", watch, watch}));
}

Test(store_reader, changes_in_close_succession_are_fetched_together) {
    // Ninety servers that start one after another woke every instance ninety
    // times.
    constexpr base::milliseconds gather(40);
    fixture f(gather);
    f.source.answers = {good(1), good(2), good(3), good(4)};
    const auto begun = f.owner.now();
    f.run();
    cr_assert(f.source.calls.size() == 5);
    cr_assert(f.owner.now() - begun >= gather * 3);
}

Test(store_reader, tells_of_the_stores_return_before_its_answer_is_taken) {
    fixture f;
    std::vector<std::uint64_t> versions_at_return;
    f.reader.on_return([&] {
        versions_at_return.push_back(f.copy.version(collection::servers));
    });
    f.source.answers = {
        good(4, {{"i", 4, "x"}}),
        {store_result::unreachable, {}, 0},
        good(6, {{"i", 6, std::nullopt}})};
    f.run();
    cr_assert(versions_at_return == std::vector<std::uint64_t>{4});
    cr_assert(f.copy.version(collection::servers) == 6);
}

namespace {

const base::steady_time moment = base::steady_time{} + std::chrono::hours(1);

store_answer confirmed_at(std::uint64_t version, int ms) {
    store_answer answer = good(version);
    answer.confirmed = moment + base::milliseconds(ms);
    return answer;
}

} // namespace

Test(store_reader, knows_as_of_when_it_is_complete) {
    fixture f;
    cr_assert(!f.reader.confirmed());
    f.source.answers = {
        confirmed_at(4, 0), confirmed_at(4, 900), confirmed_at(4, 500)};
    f.run();
    cr_assert(*f.reader.confirmed() == moment + base::milliseconds(900));
}

Test(store_reader, a_store_that_is_behind_confirms_nothing) {
    // It was restored to an older state, or a reader lags.
    fixture f;
    f.source.answers = {confirmed_at(8, 0), confirmed_at(5, 900)};
    f.run();
    cr_assert(*f.reader.confirmed() == moment);
}

Test(store_reader, a_failure_confirms_nothing) {
    fixture f;
    store_answer refused = confirmed_at(4, 900);
    refused.result = store_result::refused;
    f.source.answers = {confirmed_at(4, 0), refused};
    f.run();
    cr_assert(*f.reader.confirmed() == moment);
}
