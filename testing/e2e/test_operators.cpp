// Operators: watches, races, outages of the platform, restarts.
#include <mintknot/harness/caller.hpp>
#include <mintknot/harness/test_cluster.hpp>

#include <mintknot/base/json_reader.hpp>

#include <criterion/criterion.h>
#include <fmt/format.h>

#include <signal.h>

#include <thread>

using namespace mintknot;
using namespace mintknot::harness;

namespace {

using nlohmann::json;

json class_spec(int first_token_ms) {
    return {{"first_token_ms", first_token_ms}};
}

std::uint64_t
revision_of(test_cluster& cluster, const cluster_instance& instance) {
    const auto answer = cluster.operate(instance, "GET", "/v1/status");
    return base::field_or(
        json::parse(answer.body, nullptr, false), "config_revision",
        std::uint64_t{0});
}

/// Reads a watch until so many changes came. @return their revisions.
std::vector<std::uint64_t> watch(
    const cluster_instance& instance, std::uint64_t since, std::size_t wanted) {
    std::vector<std::uint64_t> revisions;
    net::http_client client;
    std::string buffer;
    client.stream(
        instance.operators,
        {.path = fmt::format("/v1/resources?watch=true&since={}", since),
         .headers = {{"Authorization", std::string("Bearer ") + operator_key}}},
        [&](std::string_view piece) {
            buffer += piece;
            for (auto end = buffer.find('\n');
                 end != std::string::npos && revisions.size() < wanted;
                 end = buffer.find('\n')) {
                if (buffer.starts_with("id: "))
                    revisions.push_back(std::stoull(buffer.substr(4)));
                buffer.erase(0, end + 1);
            }
            return revisions.size() < wanted;
        });
    return revisions;
}

} // namespace

Test(operators, a_watch_goes_on_at_another_instance_without_a_gap) {
    test_cluster cluster({});
    const auto start = revision_of(cluster, cluster.instances()[0]);
    for (int i = 0; i < 3; ++i)
        cluster.put("request_class", fmt::format("c{}", i), class_spec(100));
    const auto first = watch(cluster.instances()[0], start, 2);
    cr_assert_eq(first.size(), 2U);
    std::thread later(
        [&] { cluster.put("request_class", "c9", class_spec(100)); });
    // The other instance may not have them yet: the watch waits for them.
    const auto second = watch(cluster.instances()[2], first.back(), 2);
    later.join();
    cr_assert_eq(second.size(), 2U);
    cr_assert_eq(first[0], start + 1);
    cr_assert_eq(second[0], first.back() + 1);
    cr_assert_eq(second[1], first.back() + 2);
}

Test(operators, racing_operators_get_one_winner_and_clear_conflicts) {
    test_cluster cluster({});
    const auto path = "/v1/resources/request_class/urgent";
    const auto current =
        cluster.operate(cluster.instances()[0], "GET", path).header("ETag");
    std::atomic<int> won{0};
    std::atomic<int> conflicts{0};
    std::vector<std::thread> racers;
    for (int i = 0; i < 6; ++i)
        racers.emplace_back([&, i] {
            const auto answer = cluster.operate(
                cluster.instances()[static_cast<std::size_t>(i) % 3], "PUT",
                path, class_spec(100 + i).dump(), current);
            won += answer.ok() ? 1 : 0;
            const bool shown =
                answer.body.find("\"current\"") != std::string::npos;
            conflicts += answer.status == 409 && shown ? 1 : 0;
        });
    for (auto& racer : racers)
        racer.join();
    cr_assert_eq(won.load(), 1);
    cr_assert_eq(conflicts.load(), 5);
}

Test(operators, a_reference_to_a_change_made_elsewhere_is_found) {
    test_cluster cluster({});
    for (std::size_t i = 0; i < 6; ++i) {
        const std::string name = fmt::format("s{}", i);
        const auto service = cluster.operate(
            cluster.instances()[i % 3], "PUT", "/v1/resources/service/" + name,
            json{{"model", name}}.dump());
        cr_assert(service.ok(), "%s", service.body.c_str());
        const auto pool = cluster.operate(
            cluster.instances()[(i + 1) % 3], "PUT",
            "/v1/resources/pool/" + name, json{{"service", name}}.dump());
        cr_assert(pool.ok(), "%s", pool.body.c_str());
    }
}

Test(operators, a_lost_answer_of_the_platform_is_read_back) {
    test_cluster cluster({});
    cluster.platform_faults({{"lose_answers", 1}});
    const auto answer = cluster.operate(
        cluster.instances()[0], "PUT", "/v1/resources/request_class/late",
        class_spec(100).dump());
    cr_assert(answer.ok(), "%s", answer.body.c_str());
    const auto change = cluster.operate(
        cluster.instances()[1], "GET",
        "/v1/changes/" + answer.header("X-Change-Id"));
    cr_assert(change.ok());
    cr_assert(change.body.find("\"late\"") != std::string::npos);
}

Test(operators, without_the_platform_traffic_goes_on_and_changes_are_refused) {
    test_cluster cluster({});
    const auto before = revision_of(cluster, cluster.instances()[2]);
    cluster.platform_faults({{"down", true}});
    const auto refused = cluster.operate(
        cluster.instances()[0], "PUT", "/v1/resources/request_class/no",
        class_spec(100).dump());
    cr_assert_eq(refused.status, 503);
    cr_assert(refused.header("X-Run-Verdict") == "not_run");
    // A restarted instance gets its configuration from its peers.
    auto& restarted = cluster.instances()[2];
    restarted.process->signal(SIGKILL);
    restarted.process->wait();
    cluster.start_instance(restarted);
    cr_assert(
        eventually([&] {
            return revision_of(cluster, restarted) >= before &&
                   complete(
                       restarted.caller, {.key = norrvik_key,
                                          .prompt = "still answering",
                                          .max_tokens = 5})
                       .done;
        }),
        "%s", cluster.logs().c_str());
    cluster.platform_faults({{"down", false}});
    cluster.put("request_class", "yes", class_spec(100));
    for (auto& instance : cluster.instances())
        cr_assert(eventually(
            [&] { return revision_of(cluster, instance) > before; }));
}

Test(operators, every_decision_can_be_asked_about_at_any_instance) {
    test_cluster cluster({});
    const auto answer = complete(
        cluster.instances()[0].caller,
        {.key = norrvik_key, .prompt = "why me", .max_tokens = 5});
    cr_assert(answer.done);
    for (auto& instance : cluster.instances()) {
        json records;
        cr_assert(eventually([&] {
            const auto why = cluster.operate(
                instance, "GET", "/v1/why/" + answer.request_id);
            records = base::field_or(
                json::parse(why.body, nullptr, false), "decisions",
                json::array());
            return records.size() >= 3;
        }));
        cr_assert(records[0]["kind"].get<std::string>() == "received");
        cr_assert(records[1]["kind"].get<std::string>() == "placement");
        cr_assert(records[1]["candidates"].size() >= 4);
    }
}

Test(operators, the_command_line_has_the_documented_exit_codes) {
    cluster_options options;
    options.instances = 1;
    test_cluster cluster(options);
    const auto run = [](const std::vector<std::string>& arguments) {
        child_process program("mintknot", arguments, "/dev/null");
        return program.wait();
    };
    const std::string server =
        base::to_string(cluster.instances()[0].operators);
    const std::vector<std::string> common{
        "--server", server, "--key", operator_key};
    const auto with = [&](std::vector<std::string> arguments) {
        arguments.insert(arguments.begin() + 1, common.begin(), common.end());
        return arguments;
    };
    cr_expect_eq(run(with({"status"})), 0);
    cr_expect_eq(run(with({"get", "service", "assistant"})), 0);
    cr_expect_eq(run(with({"get", "service", "none"})), 1);
    cr_expect_eq(run({"apply"}), 2);
    cr_expect_eq(run({"status", "--help"}), 0);
    cr_expect_eq(run({"nonsense"}), 2);
    cr_expect_eq(run({"validate", "-f", "/nonexistent"}), 2);
    cr_expect_eq(
        run(with({"delete", "--revision", "99", "pool", "decode"})), 3);
    cr_expect_eq(run({"status", "--server", "127.0.0.1:1", "--key", "k"}), 4);
    cr_expect_eq(run(with({"drain", "d1"})), 0);
}
