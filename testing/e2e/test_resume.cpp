// Callers that leave and come back, here or at another instance.
#include <mintknot/harness/caller.hpp>
#include <mintknot/harness/test_cluster.hpp>
#include <mintknot/standins/prompt_writer.hpp>

#include <criterion/criterion.h>

#include <signal.h>

#include <thread>

using namespace mintknot;
using namespace mintknot::harness;

namespace {

const std::string prompt = "List the spare parts of compressor 7.";
constexpr std::uint64_t max_tokens = 60;

void comes_back_at(std::size_t instance) {
    cluster_options options;
    options.settings = {{"caller", {{"resume_grace_ms", 10000}}}};
    test_cluster cluster(options);
    const auto whole = standins::expected_answer(prompt, max_tokens);
    const auto first = complete(
        cluster.instances()[0].caller, {.key = norrvik_key,
                                        .prompt = prompt,
                                        .max_tokens = max_tokens,
                                        .leave_after = 10});
    cr_assert_eq(first.event_ids.back(), 10U);
    const auto rest = resume(
        cluster.instances()[instance].caller, norrvik_key, first.request_id,
        std::to_string(first.event_ids.back()));
    cr_assert(
        rest.done, "%s\n%s", rest.error_code.c_str(), cluster.logs().c_str());
    auto tokens = first.tokens;
    tokens.insert(tokens.end(), rest.tokens.begin(), rest.tokens.end());
    cr_assert(tokens == whole);
    cr_assert_eq(rest.event_ids.front(), 11U);
    cr_assert_eq(rest.event_ids.back(), whole.size());
    cr_assert(eventually([&] { return cluster.truth("kv_used") == 0; }));
}

} // namespace

Test(resume, at_the_same_instance) {
    comes_back_at(0);
}

Test(resume, at_another_instance_of_another_data_centre) {
    comes_back_at(1);
}

Test(resume, an_answer_that_nobody_reads_is_cancelled) {
    cluster_options options;
    options.settings = {{"caller", {{"resume_grace_ms", 200}}}};
    test_cluster cluster(options);
    const auto left = complete(
        cluster.instances()[0].caller, {.key = norrvik_key,
                                        .prompt = prompt,
                                        .max_tokens = 5000,
                                        .leave_after = 3});
    cr_assert_eq(left.tokens.size(), 3U);
    cr_assert(eventually([&] { return cluster.truth("attempts") == 0; }));
    cr_assert_eq(cluster.truth("kv_used"), 0U);
    cr_assert(cluster.truth("decoded") < 2000);
}

Test(resume, the_same_idempotency_key_joins_the_running_request) {
    test_cluster cluster({});
    completion_options call{
        .key = norrvik_key, .prompt = prompt, .max_tokens = max_tokens};
    call.idempotency_key = "try-1";
    received_answer second;
    std::thread other;
    call.on_token = [&](std::size_t tokens) {
        if (tokens != 5)
            return;
        other = std::thread([&] {
            completion_options again = call;
            again.on_token = {};
            second = complete(cluster.instances()[0].caller, again);
        });
    };
    const auto first = complete(cluster.instances()[0].caller, call);
    other.join();
    cr_assert(first.done && second.done);
    cr_assert_str_eq(first.request_id.c_str(), second.request_id.c_str());
    cr_assert(first.tokens == second.tokens);
    cr_assert_eq(cluster.truth("decoded"), first.tokens.size());
}

Test(resume, a_dead_holders_stream_is_only_for_its_own_organisation) {
    test_cluster cluster({});
    auto& holder = cluster.instances()[0];
    completion_options call{
        .key = norrvik_key, .prompt = prompt, .max_tokens = 400};
    call.on_token = [&](std::size_t tokens) {
        if (tokens == 5)
            holder.process->signal(SIGKILL);
    };
    const auto first = complete(holder.caller, call);
    cr_assert(!first.done);
    const auto& other = cluster.instances()[2];
    const auto stolen = resume(other.caller, school_key, first.request_id, "5");
    cr_assert(stolen.tokens.empty());
    cr_assert(stolen.error_code == "unknown_request");
    const auto rest = resume(
        other.caller, norrvik_key, first.request_id,
        std::to_string(first.tokens.size()));
    cr_assert(rest.done, "%s", cluster.logs().c_str());
    cr_assert_eq(first.tokens.size() + rest.tokens.size(), 400U);
}
