#include <mintknot/control/control_loop.hpp>

#include <mintknot/base/random.hpp>

#include <criterion/criterion.h>

#include <future>
#include <thread>

using namespace mintknot;

namespace {

config::catalogue one_engine() {
    using config::resource_kind;
    return config::catalogue::from(
        {{resource_kind::service, "s", 1, {{"model", "m"}}},
         {resource_kind::pool, "p", 2, {{"service", "s"}}},
         {resource_kind::backend_server,
          "e1",
          3,
          {{"pool", "p"}, {"address", "127.0.0.1:1"}, {"data_centre", "dc1"}}}},
        3);
}

control::control_options options_of(const std::string& name) {
    control::control_options options;
    options.self.id = {"dc1", name, 1};
    options.self.rpc = {"127.0.0.1", 1};
    options.self.heartbeat = {"127.0.0.1", 2};
    options.self.state = cluster::member_state::ready;
    options.membership.interval = base::milliseconds{20};
    options.membership.seeds = {{"127.0.0.1", 9}};
    return options;
}

/// A running loop whose datagrams go to a function.
struct running_loop {
    explicit running_loop(control::control_loop::datagram_sender send)
        : loop(options_of("a"), feed, std::move(send))
        , thread(
              [this](const std::stop_token& stop) { loop.run(stop, [] {}); }) {
        feed.reset(one_engine());
    }
    rpc::placed_request place(const routing::place_query& query) {
        std::promise<rpc::placed_request> answer;
        loop.place(query, [&](rpc::placed_request placed) {
            answer.set_value(std::move(placed));
        });
        return answer.get_future().get();
    }

    config::change_feed feed{100};
    control::control_loop loop;
    std::jthread thread;
};

cluster::named_load load_of(std::uint64_t capacity) {
    routing::engine_load load;
    load.incarnation = 1;
    load.kv_capacity = capacity;
    load.read_at = base::steady_clock::now();
    return {"e1", load};
}

routing::place_query query_of(std::uint64_t tokens) {
    routing::place_query query;
    query.request = "r";
    query.attempt = base::random_token();
    query.service = "s";
    query.prompt_tokens = tokens;
    query.max_tokens = 10;
    query.time_left = base::milliseconds{60000};
    return query;
}

} // namespace

Test(control_loop, places_and_answers_queued_requests_later) {
    running_loop running([](const auto&, const auto&) {});
    running.loop.take_load(load_of(200));
    const auto first = running.place(query_of(100));
    cr_assert(!first.refused.has_value());
    cr_assert(first.decode_name == "e1");
    std::promise<rpc::placed_request> later;
    running.loop.place(query_of(100), [&](rpc::placed_request placed) {
        later.set_value(std::move(placed));
    });
    running.loop.report(
        {"s", {{first.attempt, routing::progress_phase::finished}}});
    cr_assert(!later.get_future().get().refused.has_value());
}

Test(control_loop, beats_and_learns_of_others) {
    std::promise<void> sent;
    std::atomic<bool> first{true};
    running_loop running([&](const base::address& where, const auto&) {
        if (where.port == 9 && first.exchange(false))
            sent.set_value();
    });
    sent.get_future().get();
    running.loop.take_datagram("garbage");
    cr_assert_eq(running.loop.view()->live.size(), 1U);
}
