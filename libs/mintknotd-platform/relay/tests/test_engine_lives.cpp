/// @file
/// Streams at engines that may be other processes than their rows tell of.

#include "relay_fixture.hpp"

#include <mintknot/http1/serialize.hpp>

#include <criterion/criterion.h>

#include <algorithm>

using namespace mintknot;
using namespace mintknot::relay;
using namespace mintknot::relay::tests;

namespace {

constexpr auto decode = traffic::engine_phase::decode;
constexpr std::uint64_t born_in_row = 7;
constexpr std::uint64_t born_later = 8;
const std::string stream = prompt("/resume/x", 9);

/// Keeps what it is told.
struct recording_origins final : stream_origins {
    void note_begun(
        const stream_identity&, const std::string& version,
        base::milliseconds) override {
        begun.push_back(version);
    }
    std::unique_ptr<ticket>
    find(const stream_identity&, origin_handler) override {
        return nullptr;
    }
    std::vector<std::string> begun;
};

/// Engines of one version by their rows, which tell when they were born.
struct fixture : relay_fixture {
    fixture()
        : later(owner) {
        context.origins = &origins;
    }

    /// @param born what the engine itself says.
    scripted_server& add_engine(
        const std::string& id, std::uint64_t born, const script& behaviour) {
        scripted_server& added = add_server(
            id, "llm", decode,
            [born, behaviour](
                const received_request& to, const event::connection_ptr& link) {
                if (to.head.target == "/report")
                    link->write(
                        answer_to(to, "taken 0 born " + std::to_string(born)));
                else
                    behaviour(to, link);
            });
        traffic::server row = *traffic::find(context.state.servers, id);
        row.born = born_in_row;
        traffic::apply(context.state.servers, id, ++row_version, row);
        return added;
    }
    void make_rows_current() {
        policy::version_history& history = context.state.versions;
        history.confirmed = owner.now();
        history.current_since = owner.now() - std::chrono::seconds(60);
    }
    void make_rows_old() {
        context.state.versions.confirmed -= std::chrono::seconds(5);
    }
    /// An engine that begins the stream and ends while the store is down.
    script ending() {
        return
            [this](
                const received_request& to, const event::connection_ptr& link) {
                link->write(stream_head(to) + http1::chunk(event_text(1)));
                later.start(base::milliseconds(30), [this, link] {
                    make_rows_old();
                    link->close();
                });
            };
    }
    event::timer later;
    recording_origins origins;
    std::uint64_t row_version = 1000;
};

/// @return how many requests were no questions for a report.
std::size_t sent_to(const scripted_server& engine) {
    return static_cast<std::size_t>(std::count_if(
        engine.requests.begin(), engine.requests.end(),
        [](const received_request& one) {
            return one.head.target != "/report";
        }));
}

} // namespace

// A stream went on at an engine that was upgraded while the store was down.
Test(engine_lives, a_stream_does_not_go_on_at_an_engine_that_began_anew) {
    fixture f;
    f.make_rows_current();
    f.add_engine("a", born_in_row, f.ending());
    scripted_server& other = f.add_engine("b", born_later, good_decode());
    traffic::add(f.context.state.loads, "b", {1, 0.0, 2000.0});
    const caller_view seen = f.ask(stream);
    cr_assert(!seen.complete);
    cr_assert(sent_to(other) == 0);
}

Test(engine_lives, a_stream_goes_on_at_an_engine_that_confirms_its_life) {
    fixture f;
    f.make_rows_current();
    f.add_engine("a", born_in_row, f.ending());
    scripted_server& anew = f.add_engine("b", born_later, good_decode());
    scripted_server& same = f.add_engine("c", born_in_row, good_decode());
    traffic::add(f.context.state.loads, "b", {1, 0.0, 2000.0});
    traffic::add(f.context.state.loads, "c", {1, 0.0, 4000.0});
    const caller_view seen = f.ask(stream);
    cr_assert(seen.complete);
    cr_assert(seen.body == all_events());
    cr_assert(sent_to(anew) == 0);
    cr_assert(sent_to(same) == 1);
}

Test(engine_lives, nothing_is_asked_while_rows_are_current) {
    fixture f;
    f.make_rows_current();
    scripted_server& one = f.add_engine("a", born_in_row, good_decode());
    cr_assert(f.ask(stream).complete);
    cr_assert(one.requests.size() == 1);
    cr_assert(f.origins.begun == std::vector<std::string>{"v1"});
}

// A stream that an upgraded engine began was remembered at the row's version.
Test(engine_lives, the_origin_of_a_stream_is_the_version_that_wrote_it) {
    for (const std::uint64_t born : {born_in_row, born_later}) {
        fixture f;
        scripted_server& one = f.add_engine(
            "a", born,
            [&](const received_request& to, const event::connection_ptr& link) {
                link->write(stream_head(to) + http1::chunk(event_text(1)));
                f.later.start(base::milliseconds(200), [link] {
                    link->write(std::string(http1::last_chunk));
                });
            });
        cr_assert(f.ask(stream).complete);
        cr_assert(one.requests.size() == 2);
        const bool same = born == born_in_row;
        cr_assert(f.origins.begun.size() == (same ? 1 : 0));
    }
}

Test(engine_lives, a_stream_of_an_unknown_life_goes_on_nowhere) {
    fixture f;
    f.add_engine("a", born_later, f.ending());
    scripted_server& other = f.add_engine("b", born_in_row, good_decode());
    traffic::add(f.context.state.loads, "b", {1, 0.0, 2000.0});
    cr_assert(!f.ask(stream).complete);
    cr_assert(sent_to(other) == 0);
}
