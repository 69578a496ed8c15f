// Engines and instances that die under a request.
#include <mintknot/harness/caller.hpp>
#include <mintknot/harness/test_cluster.hpp>
#include <mintknot/standins/prompt_writer.hpp>

#include <criterion/criterion.h>

#include <signal.h>

#include <atomic>
#include <thread>

using namespace mintknot;
using namespace mintknot::harness;

namespace {

const std::string prompt = "Review panel 12 against the drill rules.";

/// @return the engines of a role that hold anything for a decode now.
cluster_engine* busy_engine(test_cluster& cluster, char role) {
    net::http_client client;
    for (cluster_engine& engine : cluster.engines()) {
        if (engine.name.front() != role)
            continue;
        const auto answer =
            client.call(engine.where, {.path = "/v1/ground_truth"});
        if (answer.body.find("\"attempts\":0") == std::string::npos)
            return &engine;
    }
    return nullptr;
}

/// Runs a long answer and does something to its decode engine after 10 tokens.
void survives(int signal_number) {
    cluster_options options;
    options.settings = {{"engines", {{"idle_timeout_ms", 500}}}};
    test_cluster cluster(options);
    cluster_engine* victim = nullptr;
    completion_options call{
        .key = norrvik_key, .prompt = prompt, .max_tokens = 100};
    call.on_token = [&](std::size_t tokens) {
        if (tokens != 10)
            return;
        victim = busy_engine(cluster, 'd');
        victim->process->signal(signal_number);
    };
    const auto answer = complete(cluster.instances()[0].caller, call);
    cr_assert(
        answer.done, "%s\n%s", answer.error_code.c_str(),
        cluster.logs().c_str());
    cr_assert(answer.tokens == standins::expected_answer(prompt, 100));
    const auto why = cluster.operate(
        cluster.instances()[1], "GET", "/v1/why/" + answer.request_id);
    cr_assert(why.body.find("\"kind\":\"retry\"") != std::string::npos);
    cr_assert(why.body.find(victim->name) != std::string::npos);
    victim->process->signal(SIGCONT);
    cr_assert(
        eventually([&] { return cluster.truth("kv_used") == 0; }), "%s",
        cluster.logs().c_str());
}

} // namespace

Test(failures, a_decode_engine_dies_and_the_caller_sees_no_seam) {
    survives(SIGKILL);
}

Test(failures, a_decode_engine_freezes_and_the_caller_sees_no_seam) {
    survives(SIGSTOP);
}

Test(failures, a_prefill_engine_dies_during_the_prefill) {
    cluster_options options;
    options.engine_arguments = {"--prefill-rate", "1000"};
    test_cluster cluster(options);
    const std::string long_prompt = prompt + std::string(4000, 'x');
    received_answer answer;
    std::thread caller([&] {
        answer = complete(
            cluster.instances()[0].caller,
            {.key = norrvik_key, .prompt = long_prompt, .max_tokens = 10});
    });
    cluster_engine* victim = nullptr;
    cr_assert(eventually([&] {
        victim = busy_engine(cluster, 'p');
        return victim != nullptr;
    }));
    victim->process->signal(SIGKILL);
    caller.join();
    cr_assert(
        answer.done, "%s\n%s", answer.error_code.c_str(),
        cluster.logs().c_str());
    cr_assert(answer.tokens == standins::expected_answer(long_prompt, 10));
}

Test(failures, a_dead_instance_leaves_no_memory_held) {
    cluster_options options;
    options.settings = {{"engines", {{"orphan_grace_ms", 300}}}};
    test_cluster cluster(options);
    auto& victim = cluster.instances()[0];
    completion_options call{
        .key = norrvik_key, .prompt = prompt, .max_tokens = 20000};
    call.on_token = [&](std::size_t tokens) {
        if (tokens == 5)
            victim.process->signal(SIGKILL);
    };
    const auto answer = complete(victim.caller, call);
    cr_assert(!answer.done);
    cr_assert(
        eventually([&] { return cluster.truth("attempts") == 0; }), "%s",
        cluster.logs().c_str());
    cr_assert_eq(cluster.truth("kv_used"), 0U);
    cr_assert(cluster.truth("decoded") < 15000);
}

Test(failures, a_planned_stop_cuts_off_no_request) {
    test_cluster cluster({});
    auto& leaving = cluster.instances()[0];
    std::atomic<int> whole{0};
    std::atomic<int> started{0};
    std::vector<std::thread> callers;
    for (int i = 0; i < 20; ++i)
        callers.emplace_back([&, i] {
            completion_options call{
                .key = norrvik_key,
                .prompt = prompt + std::to_string(i),
                .max_tokens = 100};
            call.on_token = [&](std::size_t tokens) {
                started += tokens == 1 ? 1 : 0;
            };
            const auto answer = complete(leaving.caller, call);
            const auto expected = standins::expected_answer(call.prompt, 100);
            whole += answer.done && answer.tokens == expected ? 1 : 0;
        });
    cr_assert(eventually([&] { return started == 20; }));
    leaving.process->signal(SIGTERM);
    for (auto& caller : callers)
        caller.join();
    cr_assert_eq(whole.load(), 20);
    cr_assert_eq(leaving.process->wait(), 0);
}

Test(failures, a_second_signal_ends_the_wait_and_streams_say_so) {
    test_cluster cluster({});
    auto& leaving = cluster.instances()[0];
    completion_options call{
        .key = norrvik_key, .prompt = prompt, .max_tokens = 20000};
    call.on_token = [&](std::size_t tokens) {
        if (tokens == 5 || tokens == 30)
            leaving.process->signal(SIGTERM);
    };
    const auto answer = complete(leaving.caller, call);
    cr_assert(!answer.done);
    cr_assert(answer.error_code == "stopping", "%s", answer.error_code.c_str());
    cr_assert(answer.error_verdict == "may_have_run");
    cr_assert_eq(leaving.process->wait(), 1);
    cr_assert(eventually([&] { return cluster.truth("kv_used") == 0; }));
}

Test(failures, a_drained_engine_gets_no_new_work) {
    test_cluster cluster({});
    const auto answer = cluster.operate(
        cluster.instances()[0], "GET", "/v1/resources/backend_server/d1");
    auto spec = nlohmann::json::parse(answer.body)["spec"];
    spec["leaving"] = true;
    cluster.put("backend_server", "d1", spec);
    for (auto& instance : cluster.instances())
        cr_assert(eventually([&] {
            return cluster
                       .operate(
                           instance, "GET", "/v1/resources/backend_server/d1")
                       .body.find("\"leaving\":true") != std::string::npos;
        }));
    std::vector<std::thread> callers;
    for (int i = 0; i < 30; ++i)
        callers.emplace_back([&, i] {
            const auto done = complete(
                cluster.instances()[static_cast<std::size_t>(i) % 3].caller,
                {.key = norrvik_key,
                 .prompt = prompt + std::to_string(i),
                 .max_tokens = 10});
            cr_expect(done.done);
        });
    for (auto& caller : callers)
        caller.join();
    net::http_client client;
    const auto truth =
        client.call(cluster.engines()[2].where, {.path = "/v1/ground_truth"});
    cr_assert(truth.body.find("\"decoded\":0") != std::string::npos);
}
