// Plain services, whose calls may not all be repeated.
#include <mintknot/harness/test_cluster.hpp>

#include <mintknot/net/http_server.hpp>

#include <criterion/criterion.h>
#include <httplib.h>

#include <signal.h>

#include <atomic>
#include <functional>
#include <thread>

using namespace mintknot;
using namespace mintknot::harness;

namespace {

using nlohmann::json;

/// An application server that counts what it has run.
class order_desk {
public:
    order_desk() {
        server_.routes().Post("/orders", [this](const auto&, auto& response) {
            const int number = ++orders;
            if (before_answer)
                before_answer();
            response.status = 201;
            response.set_content(
                "order " + std::to_string(number), "text/plain");
        });
        server_.routes().Get("/status", [this](const auto& in, auto& response) {
            ++reads;
            response.set_content(
                "state of " + in.get_param_value("panel"), "text/plain");
        });
        where = {"127.0.0.1", *server_.start({"127.0.0.1", 0})};
    }

    std::atomic<int> orders{0};
    std::atomic<int> reads{0};
    std::function<void()> before_answer;
    base::address where;

private:
    net::http_server server_{{}};
};

json resource(const char* kind, const char* name, const json& spec) {
    return {{"kind", kind}, {"name", name}, {"spec", spec}};
}

cluster_options with_desks(const std::vector<base::address>& desks) {
    cluster_options options;
    options.prefill_engines = 0;
    options.decode_engines = 0;
    options.resources = json::array(
        {resource("service", "shop", {{"type", "plain"}}),
         resource(
             "pool", "plain",
             {{"service", "shop"}, {"role", "plain"}, {"most_ejected", 1}})});
    int number = 0;
    for (const base::address& desk : desks)
        options.resources.push_back(resource(
            "backend_server", ("s" + std::to_string(++number)).c_str(),
            {{"pool", "plain"},
             {"address", base::to_string(desk)},
             {"data_centre", "dc1"}}));
    return options;
}

net::http_response call(
    const cluster_instance& instance, const std::string& method,
    const std::string& path, const std::string& key = {},
    const std::string& body = "a quote", const std::string& deadline = "5000") {
    net::http_client client;
    net::http_request request{
        .method = method, .path = "/services/shop" + path};
    request.headers = {
        {"Authorization", std::string("Bearer ") + norrvik_key},
        {"X-Deadline-Ms", deadline}};
    if (!key.empty())
        request.headers.push_back({"Idempotency-Key", key});
    if (method != "GET")
        request.body = body;
    return client.call(instance.caller, request);
}

} // namespace

Test(plain, repeatable_calls_survive_a_dead_server) {
    order_desk desk;
    test_cluster cluster(with_desks({{"127.0.0.1", 1}, desk.where}));
    for (int i = 0; i < 6; ++i) {
        const auto answer =
            call(cluster.instances()[0], "GET", "/status?panel=7%2Fb");
        cr_assert_eq(answer.status, 200, "%s", answer.body.c_str());
        cr_assert(answer.body == "state of 7/b");
        cr_assert(answer.header("X-Run-Verdict") == "ran");
    }
}

Test(plain, a_call_that_may_not_be_repeated_needs_a_key) {
    order_desk desk;
    test_cluster cluster(with_desks({desk.where}));
    const auto answer = call(cluster.instances()[0], "POST", "/orders");
    cr_assert_eq(answer.status, 400);
    cr_assert(answer.body.find("idempotency_key_needed") != std::string::npos);
    cr_assert_eq(desk.orders.load(), 0);
}

Test(plain, copies_at_all_instances_at_once_run_once) {
    order_desk desk;
    test_cluster cluster(with_desks({desk.where}));
    std::atomic<int> same{0};
    std::vector<std::thread> balancer;
    for (std::size_t i = 0; i < 9; ++i)
        balancer.emplace_back([&, i] {
            const auto answer =
                call(cluster.instances()[i % 3], "POST", "/orders", "quote-1");
            same += answer.status == 201 && answer.body == "order 1" ? 1 : 0;
        });
    for (auto& copy : balancer)
        copy.join();
    cr_assert_eq(desk.orders.load(), 1);
    cr_assert_eq(same.load(), 9);
    const auto other = call(
        cluster.instances()[1], "POST", "/orders", "quote-1", "another quote");
    cr_assert_eq(other.status, 409);
}

Test(plain, a_lost_answer_of_the_store_does_not_run_it_twice) {
    order_desk desk;
    test_cluster cluster(with_desks({desk.where}));
    cluster.platform_faults({{"lose_answers", 1}});
    cr_assert_eq(
        call(cluster.instances()[0], "POST", "/orders", "quote-2").status, 201);
    cr_assert_eq(
        call(cluster.instances()[1], "POST", "/orders", "quote-2").status, 201);
    cr_assert_eq(desk.orders.load(), 1);
}

Test(plain, without_the_store_it_is_refused_and_has_not_run) {
    order_desk desk;
    test_cluster cluster(with_desks({desk.where}));
    cluster.platform_faults({{"down", true}});
    const auto refused =
        call(cluster.instances()[0], "POST", "/orders", "quote-3");
    cr_assert_eq(refused.status, 503);
    cr_assert(refused.header("X-Run-Verdict") == "not_run");
    cr_assert_eq(desk.orders.load(), 0);
    cluster.platform_faults({{"down", false}});
    cr_assert_eq(
        call(cluster.instances()[0], "POST", "/orders", "quote-3").status, 201);
    cr_assert_eq(desk.orders.load(), 1);
}

Test(plain, a_call_without_an_answer_may_have_run_and_never_runs_again) {
    order_desk desk;
    std::atomic<bool> silent{true};
    desk.before_answer = [&silent] {
        eventually([&silent] { return !silent.load(); });
    };
    test_cluster cluster(with_desks({desk.where}));
    const auto lost =
        call(cluster.instances()[0], "POST", "/orders", "quote-4", "q", "300");
    cr_assert(lost.header("X-Run-Verdict") == "may_have_run");
    silent = false;
    const auto again =
        call(cluster.instances()[1], "POST", "/orders", "quote-4", "q");
    cr_assert(again.header("X-Run-Verdict") == "may_have_run");
    cr_assert_eq(desk.orders.load(), 1);
}

Test(plain, the_holder_dies_and_the_copy_does_not_run_it_again) {
    order_desk desk;
    std::atomic<bool> silent{true};
    test_cluster cluster(with_desks({desk.where}));
    desk.before_answer = [&silent] {
        eventually([&silent] { return !silent.load(); });
    };
    std::thread first([&] {
        call(cluster.instances()[0], "POST", "/orders", "quote-5", "q");
    });
    cr_assert(eventually([&] { return desk.orders.load() == 1; }));
    cluster.instances()[0].process->signal(SIGKILL);
    first.join();
    silent = false;
    const auto copy =
        call(cluster.instances()[1], "POST", "/orders", "quote-5", "q");
    cr_assert(copy.header("X-Run-Verdict") == "may_have_run");
    cr_assert_eq(desk.orders.load(), 1);
}

Test(plain, a_call_that_has_not_run_may_be_sent_again) {
    test_cluster cluster(with_desks({{"127.0.0.1", 1}}));
    const auto refused =
        call(cluster.instances()[0], "POST", "/orders", "quote-6");
    cr_assert(refused.header("X-Run-Verdict") == "not_run");
    order_desk desk;
    cluster.put(
        "backend_server", "s1",
        {{"pool", "plain"},
         {"address", base::to_string(desk.where)},
         {"data_centre", "dc1"}});
    cr_assert(eventually([&] {
        return call(cluster.instances()[1], "POST", "/orders", "quote-6")
                   .status == 201;
    }));
    cr_assert_eq(desk.orders.load(), 1);
}
