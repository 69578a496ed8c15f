#include "relay_fixture.hpp"
#include "scripted_placer.hpp"

#include <mintknot/relay/server_notices.hpp>

#include <criterion/criterion.h>

using namespace mintknot;
using namespace mintknot::relay;
using namespace mintknot::relay::tests;

namespace {

constexpr auto plain = traffic::engine_phase::none;
constexpr auto prefill = traffic::engine_phase::prefill;
constexpr auto decode = traffic::engine_phase::decode;

const server_notice leaving{true, std::nullopt};

/// @return the answer with an additional header field.
std::string with_field(std::string answer, const std::string& field) {
    return answer.insert(answer.find("\r\n") + 2, field + "\r\n");
}

script leaving_with(const std::string& body, int status = 200) {
    return [=](const received_request& to, const event::connection_ptr& link) {
        link->write(with_field(answer_to(to, body, status), "Leaving: 1"));
    };
}

traffic::server row_of(const relay_fixture& f, const std::string& id) {
    return *traffic::find(f.context.state.servers, id);
}

} // namespace

Test(server_notices, leaving_notice_in_any_answer_stops_new_requests) {
    for (const int status : {200, 404, 500, 503}) {
        relay_fixture f;
        scripted_server& s =
            f.add_server("s", "app", plain, leaving_with("x", status));
        f.ask(request("/unsafe/x"));
        f.add_server("t", "app", plain, leaving_with("y"));
        for (int i = 0; i < 3; ++i)
            f.ask(request("/unsafe/x"));
        cr_assert(s.requests.size() == 1);
    }
}

Test(server_notices, leaving_prefill_engine_gets_no_more_prompts) {
    relay_fixture f;
    scripted_server& p =
        f.add_server("p", "llm", prefill, leaving_with("handle k"));
    f.add_server("d", "llm", decode, good_decode());
    const std::string prompt = request("/stream/x", "Id: r1\r\nTokens: 9\r\n");
    for (int i = 0; i < 3; ++i)
        cr_assert(f.ask(prompt).status == 200);
    cr_assert(p.requests.size() == 1);
}

Test(server_notices, row_of_the_same_incarnation_keeps_a_leaving_notice) {
    relay_fixture f;
    f.add_server("s", "app", plain, leaving_with("x"));
    traffic::server_table& servers = f.context.state.servers;
    traffic::server row = row_of(f, "s");
    row.born = 7;
    traffic::apply(servers, "s", 50, row);
    apply_server_notice(f.context, "s", leaving);
    cr_assert(traffic::open_servers(servers, "app").empty());
    traffic::apply(servers, "s", 51, row);
    cr_assert(traffic::open_servers(servers, "app").empty());
    traffic::apply(servers, "s", 52, std::nullopt);
    traffic::apply(servers, "s", 53, row);
    cr_assert(traffic::open_servers(servers, "app").empty());
    row.born = 8;
    traffic::apply(servers, "s", 54, row);
    cr_assert(traffic::open_servers(servers, "app").size() == 1);
}

Test(server_notices, placement_query_excludes_leaving_servers) {
    relay_fixture f;
    scripted_server& s = f.add_server("s", "app", plain, leaving_with("x"));
    scripted_server& t = f.add_server("t", "app", plain, leaving_with("y"));
    policy::placement_query seen;
    scripted_placer placer([&](const policy::placement_query& query) {
        seen = query;
        policy::placement placed;
        placed.server = seen.excluded.contains("s") ? "t" : "s";
        placed.scheduler_host = "scheduler";
        return placed;
    });
    f.context.placement = &placer;
    apply_server_notice(f.context, "s", leaving);
    cr_assert(f.ask(request("/unsafe/x")).body == "y");
    cr_assert(s.requests.empty());
    cr_assert(t.requests.size() == 1);
    policy::placement_query query;
    query.service = "app";
    query.may_reuse_excluded = true;
    policy::exclude_unavailable(
        query, f.context.state.servers, f.context.state.health, f.owner.now());
    cr_assert(query.excluded.contains("s"));
    cr_assert(!query.may_reuse_excluded);
}

Test(server_notices, leaving_notices_survive_becoming_a_leaf) {
    relay_fixture f;
    f.add_server("s", "app", plain, leaving_with("x"));
    const traffic::server row = row_of(f, "s");
    apply_server_notice(f.context, "s", leaving);
    traffic::become_partial(f.context.state.servers);
    traffic::note_named(f.context.state.servers, {row, 99});
    cr_assert(!may_send_to(f.context, row_of(f, "s")));
}

namespace {

script resting_for(int milliseconds) {
    return [=](const received_request& to, const event::connection_ptr& link) {
        link->write(with_field(
            rejection_of(to), "Rest: " + std::to_string(milliseconds)));
    };
}

} // namespace

Test(server_notices, resting_server_is_skipped_and_callers_get_retry_after) {
    relay_fixture f;
    scripted_server& s = f.add_server("s", "app", plain, resting_for(30000));
    const caller_view first = f.ask(request("/unsafe/x"));
    cr_assert(first.status == 503);
    for (int i = 0; i < 3; ++i) {
        const caller_view seen = f.ask(request("/unsafe/x"));
        cr_assert(seen.status == 503);
        cr_assert(std::stoi(seen.field("Retry-After")) > 20000);
    }
    cr_assert(s.requests.size() == 1);
}

Test(server_notices, rest_of_a_server_expires) {
    relay_fixture f;
    scripted_server& s = f.add_server("s", "app", plain, resting_for(150));
    cr_assert(f.ask(request("/unsafe/x")).status == 503);
    s.behaviour = [](const received_request& to,
                     const event::connection_ptr& link) {
        link->write(answer_to(to, "ok"));
    };
    const base::steady_time asked = f.owner.now();
    f.run_until([&] {
        return !policy::rests(
            f.context.state.health.resting, "s", f.owner.now());
    });
    cr_assert(f.owner.now() - asked >= base::milliseconds(100));
    cr_assert(f.ask(request("/unsafe/x")).status == 200);
}

Test(server_notices, streams_wait_for_an_engine_with_a_short_rest) {
    relay_fixture f;
    scripted_server& d = f.add_server("d", "llm", decode, resting_for(200));
    int calls = 0;
    d.behaviour = [&](const received_request& to,
                      const event::connection_ptr& link) {
        if (++calls == 1)
            resting_for(200)(to, link);
        else
            good_decode()(to, link);
    };
    cr_assert(f.ask(request("/stream/x")).status == 200);
    cr_assert(calls == 2);
}

namespace {

script limited_to(const std::string& rate, const std::string& body) {
    return [=](const received_request& to, const event::connection_ptr& link) {
        link->write(with_field(answer_to(to, body), "Limit: " + rate));
    };
}

} // namespace

Test(server_notices, a_server_at_its_limit_is_skipped) {
    relay_fixture f;
    scripted_server& s = f.add_server("s", "app", plain, limited_to("2", "x"));
    f.ask(request("/unsafe/x"));
    scripted_server& t =
        f.add_server("t", "app", plain, limited_to("1e7", "y"));
    for (int i = 0; i < 5; ++i)
        cr_assert(f.ask(request("/unsafe/x")).body == "y");
    cr_assert(s.requests.size() == 1);
    cr_assert(t.requests.size() == 5);
}

Test(
    server_notices, retry_after_is_given_when_all_servers_are_at_their_limits) {
    relay_fixture none_accepted;
    none_accepted.add_server("s", "app", plain, limited_to("0", "x"));
    none_accepted.ask(request("/unsafe/x"));
    const caller_view refused = none_accepted.ask(request("/unsafe/x"));
    cr_assert(refused.status == 503);
    cr_assert(std::stoi(refused.field("Retry-After")) == 4000);
    relay_fixture f;
    scripted_server& s = f.add_server("s", "app", plain, limited_to("2", "x"));
    f.ask(request("/unsafe/x"));
    policy::set_token_holders(
        f.context.state.health.limits, "s", 1, f.owner.now());
    for (int i = 0; i < 20; ++i) {
        const caller_view seen = f.ask(request("/unsafe/x"));
        cr_assert(seen.status == 503);
        const int retry_after = std::stoi(seen.field("Retry-After"));
        cr_assert(retry_after >= 250 && retry_after <= 4000, "%d", retry_after);
    }
    cr_assert(s.requests.size() == 1);
    f.run_until([&] {
        return policy::has_token(
            f.context.state.health.limits, "s", f.owner.now());
    });
    cr_assert(f.ask(request("/unsafe/x")).status == 200);
    cr_assert(f.ask(request("/unsafe/x")).status == 503);
}

Test(server_notices, a_limited_decode_engine_gets_no_more_than_its_tokens) {
    relay_fixture f;
    scripted_server& d = f.add_server("d", "llm", decode, good_decode());
    f.add_server("e", "llm", decode, good_decode());
    server_notice notice;
    notice.limit = 3.0;
    apply_server_notice(f.context, "d", notice);
    for (int i = 0; i < 4; ++i)
        cr_assert(f.ask(request("/stream/x")).status == 200);
    cr_assert(d.requests.empty());
}

Test(server_notices, answers_to_other_calls_do_not_end_a_limit) {
    relay_fixture f;
    f.add_server("s", "app", plain, limited_to("2", "x"));
    server_notice notice;
    notice.limit = 2.0;
    apply_server_notice(f.context, "s", notice);
    const base::steady_time later = f.owner.now() + base::milliseconds(600);
    f.run_until([&] { return f.owner.now() > later; });
    apply_server_notice(f.context, "s", {});
    cr_assert(policy::limit_of(f.context.state.health.limits, "s") == 2.0);
    server_notice unlimited;
    unlimited.answers_request = true;
    unlimited.malformed_limit = true;
    apply_server_notice(f.context, "s", unlimited);
    cr_assert(policy::limit_of(f.context.state.health.limits, "s") == 2.0);
    unlimited.malformed_limit = false;
    apply_server_notice(f.context, "s", unlimited);
    cr_assert(!policy::limit_of(f.context.state.health.limits, "s"));
}
