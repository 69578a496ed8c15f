#include <mintknot/runtime/instance.hpp>

#include <mintknot/event/datagrams.hpp>
#include <mintknot/upstream/call.hpp>

#include <criterion/criterion.h>

#include <csignal>
#include <optional>

using namespace mintknot;
using namespace mintknot::runtime;

namespace {

constexpr base::milliseconds test_limit{15000};

class empty_dialect final : public relay::dialect {
public:
    relay::request_metadata
    read_request(const http1::request_head&) const override {
        return {};
    }
    relay::answer_metadata
    read_answer(const http1::response_head&) const override {
        return {};
    }
    relay::server_notice
    read_notice(const http1::response_head&) const override {
        return {};
    }
    std::optional<relay::prefill_result>
    read_prefill(std::string_view) const override {
        return std::nullopt;
    }
    http1::request_head forwarded_request(
        const http1::request_head& caller,
        const relay::call_parameters&) const override {
        return caller;
    }
    http1::request_head
    release_request(const std::string&, const std::string&) const override {
        return {};
    }
    http1::request_head
    health_request(const std::string&, const std::string&) const override {
        return {};
    }
    http1::request_head report_request(const std::string&) const override {
        return {};
    }
    std::optional<relay::engine_report>
    read_report(std::string_view) const override {
        return std::nullopt;
    }
    relay::own_call
    order_call(const relay::phase_order&, const std::string&) const override {
        return {};
    }
    std::string
    result_location(const std::string&, const std::string&) const override {
        return {};
    }
    http1::field_list own_answer(
        const std::string&, std::optional<base::milliseconds>) const override {
        return {};
    }
};

class number_codec final : public state::document_codec {
public:
    absl::StatusOr<traffic::configuration>
    read_configuration(std::string_view text) const override {
        traffic::configuration value;
        value.version = text.size();
        return value;
    }
    absl::StatusOr<traffic::server>
    read_server(const std::string& id, std::string_view) const override {
        traffic::server value;
        value.id = id;
        return value;
    }
};

/// A store in memory that may be unreachable.
class memory_store final : public state::store {
public:
    explicit memory_store(event::loop& owner)
        : owner_(owner) {}
    void read(state::collection what, state::store_handler on_answer) override {
        state::store_answer answer;
        if (reachable) {
            answer.result = state::store_result::ok;
            answer.version = 9;
            if (what == state::collection::configuration)
                answer.documents = {{"config", 5, "12345"}};
        }
        owner_.post([=] { on_answer(answer); });
    }
    void watch(
        state::collection, std::uint64_t, base::milliseconds,
        state::store_handler) override {}
    void write(
        state::collection, const std::string&, std::uint64_t,
        const std::string&, state::write_handler) override {}
    bool reachable = true;

private:
    event::loop& owner_;
};

/// Polls an address until it answers with a given status.
class status_waiter {
public:
    status_waiter(event::loop& owner, base::address where)
        : owner_(owner)
        , pool_(owner)
        , where_(std::move(where))
        , timer_(owner) {}
    void wait_for(int status, const std::function<void()>& then) {
        upstream::call_request request;
        request.head.method = "GET";
        request.head.target = "/";
        call_ = upstream::call::start(
            pool_, {"x", where_}, std::move(request), {},
            {nullptr,
             [this](http1::response_head& head) { seen = head.status; },
             [](std::string_view) {},
             [this, status, then] {
                 if (seen == status)
                     then();
                 else
                     again(status, then);
             },
             [this, status, then](upstream::call_failure) {
                 again(status, then);
             }});
    }
    int seen = 0;

private:
    void again(int status, const std::function<void()>& then) {
        timer_.start(base::milliseconds(10), [this, status, then] {
            wait_for(status, then);
        });
    }
    event::loop& owner_;
    upstream::connection_pool pool_;
    base::address where_;
    event::timer timer_;
    std::unique_ptr<upstream::call> call_;
};

std::uint16_t free_port(event::loop& owner) {
    event::datagrams probe(owner);
    cr_assert(probe.open({"127.0.0.1", 0}, [](auto&, auto) {}).ok());
    return probe.port();
}

instance_settings settings_for(const std::string& host, std::uint16_t port) {
    instance_settings settings;
    settings.name = host;
    settings.data_centre = "a";
    settings.entry = {host, static_cast<std::uint16_t>(port + 1)};
    settings.readiness = {host, static_cast<std::uint16_t>(port + 2)};
    settings.peer = {host, port};
    settings.seed_hosts = {"127.0.0.2"};
    settings.grace = base::milliseconds(400);
    return settings;
}

struct fixture {
    fixture()
        : limit(owner) {
        port = free_port(owner);
        limit.start(test_limit, [this] {
            late = true;
            owner.stop();
        });
    }
    std::unique_ptr<instance> start(const std::string& host, state::store& s) {
        auto result = std::make_unique<instance>(
            settings_for(host, port),
            instance_ports{
                owner, protocol, codec, s,
                []() -> absl::StatusOr<instance_settings> {
                    return absl::NotFoundError("none");
                }});
        cr_assert(result->start().ok());
        return result;
    }
    event::loop owner;
    empty_dialect protocol;
    number_codec codec;
    event::timer limit;
    bool late = false;
    std::uint16_t port = 0;
};

} // namespace

Test(instance, is_ready_once_it_knows_the_configuration) {
    fixture f;
    memory_store store(f.owner);
    store.reachable = false;
    const auto one = f.start("127.0.0.2", store);
    status_waiter readiness(
        f.owner, {"127.0.0.2", static_cast<std::uint16_t>(f.port + 2)});
    readiness.wait_for(503, [&] {
        store.reachable = true;
        readiness.wait_for(200, [&] { f.owner.stop(); });
    });
    f.owner.run();
    cr_assert(!f.late);
    cr_assert(readiness.seen == 200);
}

Test(instance, learns_from_a_peer_what_the_store_does_not_tell) {
    fixture f;
    memory_store good(f.owner);
    memory_store cut_off(f.owner);
    cut_off.reachable = false;
    const auto one = f.start("127.0.0.2", good);
    const auto two = f.start("127.0.0.3", cut_off);
    status_waiter readiness(
        f.owner, {"127.0.0.3", static_cast<std::uint16_t>(f.port + 2)});
    readiness.wait_for(200, [&] { f.owner.stop(); });
    f.owner.run();
    cr_assert(!f.late);
    cr_assert(readiness.seen == 200);
}

Test(instance, stops_within_its_grace_and_is_not_ready_meanwhile) {
    fixture f;
    memory_store store(f.owner);
    const auto one = f.start("127.0.0.2", store);
    status_waiter readiness(
        f.owner, {"127.0.0.2", static_cast<std::uint16_t>(f.port + 2)});
    bool refused = false;
    readiness.wait_for(200, [&] {
        std::raise(SIGTERM);
        readiness.wait_for(503, [&] { refused = true; });
    });
    f.owner.run();
    cr_assert(!f.late);
    cr_assert(refused);
}

Test(instance, takes_new_settings_without_a_signal) {
    // With the longer grace period of the new settings the shutdown takes
    // longer.
    fixture f;
    memory_store store(f.owner);
    int reads = 0;
    instance one(
        settings_for("127.0.0.2", f.port),
        instance_ports{
            f.owner, f.protocol, f.codec, store,
            [&]() -> absl::StatusOr<instance_settings> {
                ++reads;
                auto fresh = settings_for("127.0.0.2", f.port);
                fresh.grace = base::milliseconds(1000);
                return fresh;
            }});
    cr_assert(one.start().ok());
    event::timer polling(f.owner);
    base::steady_time stopped{};
    std::function<void()> wait = [&] {
        if (reads == 0) {
            polling.start(base::milliseconds(10), [&] { wait(); });
            return;
        }
        stopped = f.owner.now();
        std::raise(SIGTERM);
    };
    wait();
    f.owner.run();
    cr_assert(!f.late);
    cr_assert(f.owner.now() - stopped >= base::milliseconds(200));
}

Test(instance, an_address_in_use_is_an_error) {
    fixture f;
    memory_store store(f.owner);
    const auto one = f.start("127.0.0.2", store);
    instance again(
        settings_for("127.0.0.2", f.port),
        instance_ports{
            f.owner, f.protocol, f.codec, store,
            []() -> absl::StatusOr<instance_settings> {
                return absl::NotFoundError("none");
            }});
    cr_assert(!again.start().ok());
}
