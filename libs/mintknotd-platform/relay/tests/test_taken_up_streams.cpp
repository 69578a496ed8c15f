#include "relay_fixture.hpp"
#include "scripted_placer.hpp"

#include <mintknot/http1/serialize.hpp>

#include <criterion/criterion.h>

#include <vector>

using namespace mintknot;
using namespace mintknot::relay;
using namespace mintknot::relay::tests;

namespace {

constexpr auto decode = traffic::engine_phase::decode;

const std::string new_stream = request("/resume/x", "Id: r1\r\nTokens: 9\r\n");
const std::string take_up =
    request("/resume/x", "Id: r2\r\nTokens: 9\r\nResumes: r1\r\nAfter: 1\r\n");

/// Sends one event, then closes the connection.
script breaks_after_one_event() {
    return [](const received_request& to, const event::connection_ptr& link) {
        link->write(stream_head(to) + http1::chunk(event_text(1)));
        link->close();
    };
}

/// Closes the connection before it has sent an event.
script breaks_at_once() {
    return [](const received_request&, const event::connection_ptr& link) {
        link->reset();
    };
}

/// Knows what the test says, and keeps what it is told.
class scripted_origins final : public stream_origins {
public:
    explicit scripted_origins(event::loop& owner)
        : owner_(owner) {}

    void note_begun(
        const stream_identity& stream, const std::string& version,
        base::milliseconds) override {
        begun.push_back({stream, version});
    }

    std::unique_ptr<ticket>
    find(const stream_identity& stream, origin_handler then) override {
        asked.push_back(stream);
        owner_.post([this, then = std::move(then)] { then(answer); });
        return nullptr;
    }

    struct beginning {
        stream_identity stream;
        std::string version;
    };
    std::vector<beginning> begun;
    std::vector<stream_identity> asked;
    origin_answer answer;

private:
    event::loop& owner_;
};

/// Engines of two versions, and what is known of streams.
struct two_versions {
    two_versions()
        : origins(f.owner) {
        f.context.origins = &origins;
    }
    void know(const std::string& version) {
        origins.answer.decision = {policy::origin_verdict::known, version, {}};
    }
    relay_fixture f;
    scripted_origins origins;
};

} // namespace

Test(taken_up_streams, a_broken_answer_goes_on_at_its_version_only) {
    for (int i = 0; i < 5; ++i) {
        two_versions t;
        bool broken = false;
        const script first_breaks = [&](const received_request& to,
                                        const event::connection_ptr& link) {
            (std::exchange(broken, true) ? good_decode()
                                         : breaks_after_one_event())(to, link);
        };
        const auto engine = [&](const char* id, const char* version) {
            return &t.f.add_server(id, "llm", decode, first_breaks, version);
        };
        scripted_server* const ones[] = {engine("a", "v1"), engine("c", "v1")};
        scripted_server* const twos[] = {engine("b", "v2"), engine("d", "v2")};
        cr_assert(t.f.ask(new_stream).body == all_events());
        cr_assert(t.origins.begun.size() == 1);
        const bool at_one = t.origins.begun[0].version == "v1";
        for (scripted_server* server : at_one ? ones : twos)
            cr_assert(server->requests.size() == 1);
        for (scripted_server* server : at_one ? twos : ones)
            cr_assert(server->requests.empty());
    }
}

Test(taken_up_streams, an_answer_without_its_version_is_broken_off_at_once) {
    for (const char* version : {"v2", ""}) {
        two_versions t;
        scripted_server& one =
            t.f.add_server("a", "llm", decode, breaks_after_one_event(), "v1");
        scripted_server& other = t.f.add_server(
            "b", "llm", decode, breaks_after_one_event(), version);
        cr_assert(!t.f.ask(new_stream).complete);
        cr_assert(one.requests.empty() || other.requests.empty());
    }
}

Test(taken_up_streams, one_that_ends_inside_an_event_has_been_broken_off) {
    // The answer has neither a length nor chunks: it ends with its connection.
    const script ends_inside = [](const received_request& to,
                                  const event::connection_ptr& link) {
        link->write(
            "HTTP/1.1 200 OK\r\nId: " + to.field("Id") +
            "\r\nSeal: s\r\nContent-Type: events\r\n\r\n" + event_text(1) +
            "id: 2\nda");
        link->close();
    };
    two_versions t;
    bool broken = false;
    t.f.add_server(
        "a", "llm", decode,
        [&](const received_request& to, const event::connection_ptr& link) {
            (std::exchange(broken, true) ? good_decode()
                                         : ends_inside)(to, link);
        });
    cr_assert(t.f.ask(new_stream).body == all_events());
    two_versions other;
    other.f.add_server("a", "llm", decode, ends_inside);
    other.f.add_server("b", "app", traffic::engine_phase::none, ends_inside);
    for (const char* path : {"/stream/x", "/safe/x"})
        cr_assert(
            !other.f.ask(request(path, "Id: r1\r\nTokens: 9\r\n")).complete);
}

Test(taken_up_streams, before_its_first_event_a_stream_may_use_any_version) {
    two_versions t;
    t.f.add_server("a", "llm", decode, breaks_at_once(), "v1");
    t.f.add_server("b", "llm", decode, good_decode(), "v2");
    cr_assert(t.f.ask(new_stream).body == all_events());
    cr_assert(t.origins.begun[0].version == "v2");
}

Test(taken_up_streams, another_request_goes_on_at_the_version_that_began_it) {
    two_versions t;
    scripted_server& other =
        t.f.add_server("a", "llm", decode, good_decode(), "v1");
    scripted_server& same =
        t.f.add_server("b", "llm", decode, good_decode(), "v2");
    t.know("v2");
    cr_assert(t.f.ask(take_up).status == 200);
    cr_assert(t.origins.asked[0].request_id == "r1");
    cr_assert(other.requests.empty());
    cr_assert(same.requests.size() == 1);
    cr_assert(t.origins.begun[0].stream.request_id == "r2");
    cr_assert(t.origins.begun[0].version == "v2");
}

Test(taken_up_streams, one_that_nobody_knows_is_refused_at_once) {
    two_versions t;
    scripted_server& engine =
        t.f.add_server("a", "llm", decode, good_decode(), "v1");
    for (const auto verdict :
         {policy::origin_verdict::unknown,
          policy::origin_verdict::unanswered}) {
        t.origins.answer.decision = {verdict, {}, base::milliseconds(300)};
        const caller_view seen = t.f.ask(take_up);
        cr_assert(seen.status == 503);
        cr_assert(seen.field("Retry-After") == "300");
    }
    cr_assert(engine.requests.empty());
}

Test(taken_up_streams, one_whose_version_is_gone_is_refused_at_once) {
    two_versions t;
    scripted_server& engine =
        t.f.add_server("a", "llm", decode, good_decode(), "v1");
    t.know("v2");
    const caller_view seen = t.f.ask(take_up);
    cr_assert(seen.status == 503);
    cr_assert(!seen.field("Retry-After").empty());
    cr_assert(engine.requests.empty());
}

Test(taken_up_streams, an_engine_that_an_earlier_build_names_is_checked) {
    two_versions t;
    scripted_server& other =
        t.f.add_server("a", "llm", decode, good_decode(), "v1");
    scripted_server& same =
        t.f.add_server("b", "llm", decode, good_decode(), "v2");
    scripted_placer scheduler([](const policy::placement_query& query) {
        return policy::placement{
            .server = query.excluded.contains("a") ? "b" : "a"};
    });
    t.f.context.placement = &scheduler;
    t.know("v2");
    cr_assert(t.f.ask(take_up).status == 200);
    cr_assert(other.requests.empty());
    cr_assert(same.requests.size() == 1);
}

Test(taken_up_streams, a_scheduler_that_names_none_of_its_version_ends_it) {
    two_versions t;
    scripted_server& other =
        t.f.add_server("a", "llm", decode, good_decode(), "v1");
    scripted_placer scheduler([](const policy::placement_query&) {
        return policy::placement{.server = "a"};
    });
    t.f.context.placement = &scheduler;
    t.know("v2");
    cr_assert(t.f.ask(take_up).status == 503);
    cr_assert(other.requests.empty());
}
