#include "scenario_runner.hpp"

#include <mintknot/base/json_reader.hpp>
#include <mintknot/standins/prompt_writer.hpp>

#include <fmt/format.h>

#include <algorithm>

namespace mintknot::scenario {

using harness::eventually;
using nlohmann::json;

void require(bool holds, const std::string& what) {
    if (!holds)
        throw step_failure(what);
}

bool scenario_run::has_record(
    const std::string& request, const std::string& kind) {
    for (auto& item : cluster().instances()) {
        if (!item.process->running())
            continue;
        const auto why = cluster().operate(item, "GET", "/v1/why/" + request);
        if (why.body.find(fmt::format("\"kind\":\"{}\"", kind)) !=
            std::string::npos)
            return true;
    }
    return false;
}

std::uint64_t scenario_run::revision_of(const std::string& name) {
    const auto answer = cluster().operate(instance(name), "GET", "/v1/status");
    return base::field_or(
        json::parse(answer.body, nullptr, false), "config_revision",
        std::uint64_t{0});
}

/// @return whether any other instance counts it as live.
bool scenario_run::is_seen(const std::string& name) {
    const std::string entry =
        fmt::format("\"name\":\"{}\",\"silent_ms\"", name);
    return std::any_of(
        cluster().instances().begin(), cluster().instances().end(),
        [&](auto& other) {
            if (other.name == name || !other.process->running())
                return false;
            const auto status = cluster().operate(other, "GET", "/v1/status");
            return status.body.find(entry) != std::string::npos;
        });
}

/// Checks what a call has got. Waits for its end first.
void scenario_run::expect_call(const step& now) {
    running_call& call = call_named(now.subject);
    require(eventually([&] { return call.ended.load(); }), "it does not end");
    const auto& answer = call.answer;
    if (now.has("whole")) {
        auto expected = standins::expected_answer(
            call.options.prompt, call.options.max_tokens);
        expected.erase(
            expected.begin(),
            expected.begin() + static_cast<std::ptrdiff_t>(std::min(
                                   call.first_offset, expected.size())));
        require(
            answer.done && answer.tokens == expected,
            fmt::format(
                "{} of {} tokens, done {}, status {}, code '{}'",
                answer.tokens.size(), expected.size(), answer.done,
                answer.status, answer.error_code));
    }
    const auto compare = [&](const char* option, const std::string& found) {
        require(
            !now.has(option) || now.text_of(option) == found,
            fmt::format("{} is '{}'", option, found));
    };
    compare("code", answer.error_code);
    compare("verdict", answer.error_verdict);
    compare("status", std::to_string(answer.status));
    compare("tokens", std::to_string(answer.tokens.size()));
    if (!answer.tokens.empty())
        compare("is", answer.tokens.front());
    if (now.has("without"))
        require(
            !has_record(answer.request_id, now.text_of("without")),
            "there is such a record");
    if (now.has("record"))
        require(
            eventually([&] {
                return has_record(answer.request_id, now.text_of("record"));
            }),
            "no such record");
}

/// @return an empty text if the step about the system holds now.
std::string scenario_run::problem_with(const step& now) {
    if (now.has("idle")) {
        const auto held = cluster().truth("kv_used");
        const auto attempts = cluster().truth("attempts");
        if (held != 0 || attempts != 0)
            return fmt::format("{} tokens, {} attempts held", held, attempts);
    }
    if (now.has("orders") && desk_.orders() != now.number("orders"))
        return fmt::format("{} orders were run", desk_.orders());
    if (now.has("revision") &&
        revision_of(now.subject) < now.number("revision"))
        return "revision " + std::to_string(revision_of(now.subject));
    if (now.has("unseen") && is_seen(now.subject))
        return "another instance still counts it as live";
    if (now.has("running") && !process(now.subject).running())
        return "it has ended";
    if (now.has("exited")) {
        if (process(now.subject).running())
            return "it still runs";
        if (const int code = process(now.subject).wait(); code != 0)
            return fmt::format("its exit code is {}", code);
    }
    return {};
}

void scenario_run::expect(const step& now, base::milliseconds patience) {
    if (calls_.contains(now.subject))
        return expect_call(now);
    std::string problem;
    eventually(
        [&] {
            problem = problem_with(now);
            return problem.empty();
        },
        patience);
    require(problem.empty(), problem);
}

} // namespace mintknot::scenario
