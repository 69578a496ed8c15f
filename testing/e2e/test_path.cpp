// The whole path: many callers, three instances, engines of two pools.
#include <mintknot/harness/caller.hpp>
#include <mintknot/harness/test_cluster.hpp>
#include <mintknot/standins/prompt_writer.hpp>

#include <criterion/criterion.h>
#include <fmt/format.h>

#include <atomic>
#include <set>
#include <thread>

using namespace mintknot;
using namespace mintknot::harness;

namespace {

std::string prompt_number(std::size_t number) {
    return fmt::format(
        "Case {}: the compressor loses pressure after a cold start. {}", number,
        std::string(20 * (number % 40), 'x'));
}

} // namespace

Test(path, many_callers_get_their_own_answer_token_for_token) {
    test_cluster cluster({});
    constexpr std::size_t callers = 240;
    constexpr std::uint64_t max_tokens = 40;
    std::atomic<int> whole{0};
    std::atomic<int> left{0};
    std::atomic<int> wrong{0};
    std::vector<std::thread> threads;
    std::mutex mutex;
    std::set<std::string> holders;
    std::string errors;
    for (std::size_t i = 0; i < callers; ++i)
        threads.emplace_back([&, i] {
            const bool leaves = i % 4 == 3;
            completion_options call;
            call.key = norrvik_key;
            call.prompt = prompt_number(i);
            call.max_tokens = max_tokens;
            call.leave_after = leaves ? 1 + i % 10 : 0;
            const auto answer =
                complete(cluster.instances()[i % 3].caller, call);
            const auto expected =
                standins::expected_answer(call.prompt, max_tokens);
            const bool fits = answer.tokens.size() <= expected.size() &&
                              std::equal(
                                  answer.tokens.begin(), answer.tokens.end(),
                                  expected.begin());
            if (!fits)
                ++wrong;
            else if (answer.done && answer.tokens.size() == expected.size())
                ++whole;
            else if (leaves && answer.tokens.size() == call.leave_after)
                ++left;
            const std::lock_guard lock(mutex);
            if (!answer.done && !leaves)
                errors += fmt::format(
                    "{}: status {}, {} tokens, '{}'\n", answer.request_id,
                    answer.status, answer.tokens.size(), answer.error_code);
            const auto dot = answer.request_id.rfind('.');
            holders.insert(answer.request_id.substr(0, dot));
        });
    for (auto& thread : threads)
        thread.join();
    cr_assert_eq(wrong.load(), 0);
    cr_assert_eq(
        whole.load() + left.load(), static_cast<int>(callers), "%s%s",
        errors.c_str(), cluster.logs().c_str());
    cr_assert(whole.load() >= 180, "%d", whole.load());
    cr_assert_eq(holders.size(), 3U);
    cr_assert(
        eventually([&] { return cluster.truth("kv_used") == 0; }),
        "engines still hold memory:\n%s", cluster.logs().c_str());
    cr_assert_eq(cluster.truth("attempts"), 0U);
}
