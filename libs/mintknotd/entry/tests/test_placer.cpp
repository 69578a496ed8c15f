#include <mintknot/entry/placer.hpp>

#include <mintknot/rpc/heartbeat_codec.hpp>
#include <mintknot/rpc/peer_server.hpp>

#include <criterion/criterion.h>

#include <thread>

using namespace mintknot;

namespace {

constexpr base::milliseconds poll_interval{5};
constexpr std::chrono::seconds long_enough{20};

/// A service whose only engines are in dc1.
config::catalogue engines_in_dc1() {
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

/// A scheduler that places every request on the engine e1.
class placing_handler final : public rpc::peer_handler {
public:
    void place(
        const routing::place_query& query, rpc::placed_callback done) override {
        rpc::placed_request answer;
        answer.attempt = query.attempt;
        answer.decode_name = "e1";
        done(answer);
    }
    void report(rpc::progress_batch) override {}
    void attach(const rpc::attach_request&, const rpc::attach_sink&) override {}
    std::string explain(const std::string&) override { return "[]"; }
    rpc::config_page changes_since(std::uint64_t) override { return {}; }
    std::vector<std::string>
    unknown_streams(const std::vector<std::string>&) override {
        return {};
    }
    std::optional<rpc::found_stream> find_stream(const std::string&) override {
        return std::nullopt;
    }
};

cluster::member ready_member(const std::string& name, base::address rpc) {
    cluster::member item;
    item.id = {"dc1", name, 1};
    item.rpc = std::move(rpc);
    item.heartbeat = {"127.0.0.1", 2};
    item.state = cluster::member_state::ready;
    item.last_heard = base::steady_clock::now();
    return item;
}

/// An instance of dc2 that hears of two instances in dc1.
struct far_instance {
    far_instance()
        : loop(options(), feed, [](const auto&, const auto&) {})
        , thread(
              [this](const std::stop_token& stop) { loop.run(stop, [] {}); }) {
        feed.reset(engines_in_dc1());
    }

    static control::control_options options() {
        control::control_options result;
        result.self.id = {"dc2", "self", 1};
        result.self.rpc = {"127.0.0.1", 1};
        result.self.heartbeat = {"127.0.0.1", 2};
        result.self.state = cluster::member_state::ready;
        result.membership.seeds = {{"127.0.0.1", 9}};
        return result;
    }

    void hear(const std::vector<cluster::member>& members) {
        const auto now = base::steady_clock::now();
        for (const cluster::member& item : members) {
            cluster::heartbeat beat;
            beat.sender = item;
            loop.take_datagram(rpc::encode(beat, now));
        }
        const auto deadline = now + long_enough;
        while (loop.view()->live.size() < members.size() + 1) {
            cr_assert(base::steady_clock::now() < deadline);
            std::this_thread::sleep_for(poll_interval);
        }
    }

    config::change_feed feed{100};
    control::control_loop loop;
    std::jthread thread;
};

/// @return of two instances of dc1, the one that is asked first.
std::string asked_first() {
    control::cluster_view view;
    for (const char* name : {"a", "b"})
        view.live.push_back(ready_member(name, {}));
    return control::scheduler_of(view, "s", "dc1")->id.name;
}

} // namespace

Test(placer, a_dead_scheduler_of_another_data_centre_is_passed_over) {
    placing_handler handler;
    rpc::peer_server server(handler);
    cr_assert(server.start({"127.0.0.1", 0}).ok());
    const base::address living{
        "127.0.0.1", static_cast<std::uint16_t>(server.port())};
    const base::address dead{"127.0.0.1", 1};
    far_instance instance;
    std::vector<cluster::member> members;
    for (const char* name : {"a", "b"})
        members.push_back(
            ready_member(name, asked_first() == name ? dead : living));
    instance.hear(members);

    rpc::peer_client peers;
    entry::placer placer(instance.feed, instance.loop, peers);
    routing::place_query query;
    query.request = "r";
    query.attempt = "r.1";
    query.service = "s";
    query.time_left = std::chrono::seconds{60};
    const auto placed = placer.place(query);
    cr_assert(!placed.request.refused.has_value());
    cr_assert(placed.request.decode_name == "e1");
}
