#include "scenario_run.hpp"

#include "order_desk.hpp"

#include <mintknot/base/json_reader.hpp>
#include <mintknot/harness/caller.hpp>
#include <mintknot/harness/test_cluster.hpp>
#include <mintknot/standins/prompt_writer.hpp>

#include <fmt/format.h>

#include <signal.h>

#include <algorithm>
#include <atomic>
#include <map>
#include <sstream>
#include <stdexcept>
#include <thread>

namespace mintknot::scenario {

namespace {

using harness::eventually;
using nlohmann::json;

/// A step that did not hold.
class step_failure : public std::runtime_error {
public:
    using std::runtime_error::runtime_error;
};

/// A completion or a plain call under way or ended.
struct running_call {
    harness::completion_options options;
    harness::received_answer answer;
    std::uint64_t first_offset = 0; ///< Of a resumed answer.
    std::atomic<std::size_t> tokens{0};
    std::atomic<bool> ended{false};
    std::thread thread;

    ~running_call() {
        if (thread.joinable())
            thread.join();
    }
};

json resource(const char* kind, const std::string& name, const json& spec) {
    return {{"kind", kind}, {"name", name}, {"spec", spec}};
}

class scenario_run {
public:
    std::string run(const std::vector<step>& steps);

private:
    void act(const step& now);
    void prepare(const step& now);
    harness::test_cluster& cluster();
    harness::cluster_instance& instance(const std::string& name);
    harness::child_process& process(const std::string& name);
    running_call& call_named(const std::string& name);

    void act_on_process(const step& now);
    void start(const step& now);
    void set_link(const step& now);
    void set_store(const step& now);
    void drain(const step& now);
    void send(const step& now);
    void call_desk(const step& now);
    void resume(const step& now);
    void put(const step& now);
    void wait(const step& now);
    void expect(const step& now, base::milliseconds patience);
    void expect_call(const step& now);
    std::string problem_with(const step& now);
    bool is_seen(const std::string& name);
    bool has_record(const std::string& request, const std::string& kind);
    std::uint64_t revision_of(const std::string& name);
    std::string records();

    harness::cluster_options options_;
    order_desk desk_;
    std::unique_ptr<harness::test_cluster> cluster_;
    std::map<std::string, std::unique_ptr<running_call>> calls_;
};

void require(bool holds, const std::string& what) {
    if (!holds)
        throw step_failure(what);
}

void scenario_run::prepare(const step& now) {
    require(cluster_ == nullptr, "the system runs already");
    if (now.verb == "setting") {
        const json::json_pointer pointer(now.subject);
        options_.settings[pointer] = json::parse(now.text_of("is"));
        return;
    }
    options_.instances = now.number("instances", options_.instances);
    options_.prefill_engines = now.number("prefill", options_.prefill_engines);
    options_.decode_engines = now.number("decode", options_.decode_engines);
    options_.data_centres.clear();
    for (std::uint64_t i = 1; i <= now.number("data_centres", 2); ++i)
        options_.data_centres.push_back(fmt::format("dc{}", i));
    std::istringstream words(now.text_of("engine"));
    for (std::string word; words >> word;)
        options_.engine_arguments.push_back(word);
    if (now.number("desks") == 0)
        return;
    options_.resources = json::array(
        {resource("service", "shop", {{"type", "plain"}}),
         resource("pool", "plain", {{"service", "shop"}, {"role", "plain"}}),
         resource(
             "backend_server", "desk",
             {{"pool", "plain"},
              {"address", base::to_string(desk_.where())},
              {"data_centre", "dc1"}})});
}

harness::test_cluster& scenario_run::cluster() {
    if (!cluster_) {
        options_.proxied = true;
        cluster_ = std::make_unique<harness::test_cluster>(options_);
    }
    return *cluster_;
}

harness::cluster_instance& scenario_run::instance(const std::string& name) {
    for (auto& item : cluster().instances())
        if (item.name == name)
            return item;
    throw step_failure("there is no instance '" + name + "'");
}

harness::child_process& scenario_run::process(const std::string& name) {
    for (auto& engine : cluster().engines())
        if (engine.name == name)
            return *engine.process;
    return *instance(name).process;
}

running_call& scenario_run::call_named(const std::string& name) {
    const auto position = calls_.find(name);
    if (position == calls_.end())
        throw step_failure("there is no call '" + name + "'");
    return *position->second;
}

void scenario_run::act_on_process(const step& now) {
    const std::map<std::string, int> signals{
        {"kill", SIGKILL},
        {"stop", SIGTERM},
        {"pause", SIGSTOP},
        {"continue", SIGCONT}};
    process(now.subject).signal(signals.at(now.verb));
    if (now.verb == "kill")
        process(now.subject).wait();
}

void scenario_run::start(const step& now) {
    for (auto& engine : cluster().engines())
        if (engine.name == now.subject)
            return cluster().start_engine(engine);
    cluster().start_instance(instance(now.subject));
}

void scenario_run::set_link(const step& now) {
    json fault{
        {"mode", "pass"},
        {"delay_ms", now.number("delay")},
        {"after_bytes", now.number("after")}};
    if (now.has("cut"))
        fault["mode"] = "cut";
    else if (now.has("stall"))
        fault["mode"] = "stall";
    else if (now.has("drop"))
        fault["mode"] = "drop_answer";
    else if (now.has("delay"))
        fault["mode"] = "delay";
    cluster().link_fault(now.subject, fault);
}

void scenario_run::set_store(const step& now) {
    cluster().platform_faults(
        {{"down", now.has("down")},
         {"lose_answers", now.number("lose")},
         {"delay_ms", now.number("delay")}});
}

void scenario_run::drain(const step& now) {
    const std::string path = "/v1/resources/backend_server/" + now.subject;
    const auto current =
        cluster().operate(cluster().instances()[0], "GET", path);
    json spec = json::parse(current.body)["spec"];
    spec["leaving"] = true;
    cluster().put("backend_server", now.subject, spec);
}

void scenario_run::send(const step& now) {
    auto call = std::make_unique<running_call>();
    running_call& running = *call;
    running.options.key = harness::norrvik_key;
    running.options.prompt =
        now.text_of("prompt", "The compressor stops: " + now.subject);
    running.options.max_tokens = now.number("tokens", 20);
    running.options.request_class = now.text_of("class");
    running.options.idempotency_key = now.text_of("key");
    running.options.leave_after = now.number("leave");
    running.options.deadline_ms = now.number("deadline");
    running.options.on_token = [&running](std::size_t tokens) {
        running.tokens = tokens;
    };
    const base::address where = instance(now.text_of("to", "entry-1")).caller;
    running.thread = std::thread([&running, where] {
        running.answer = harness::complete(where, running.options);
        running.ended = true;
    });
    calls_[now.subject] = std::move(call);
}

void scenario_run::call_desk(const step& now) {
    auto call = std::make_unique<running_call>();
    running_call& running = *call;
    net::http_request request{
        .method = "POST",
        .path = "/services/shop/orders",
        .body = "one quote",
        .read_timeout = base::milliseconds{20000}};
    request.headers = {
        {"Authorization", std::string("Bearer ") + harness::norrvik_key},
        {"Idempotency-Key", now.text_of("key")},
        {"X-Deadline-Ms", now.text_of("deadline", "5000")}};
    const base::address where = instance(now.text_of("to", "entry-1")).caller;
    running.thread = std::thread([&running, where, request] {
        net::http_client client;
        const auto answer = client.call(where, request);
        running.answer.status = answer.status;
        running.answer.request_id = answer.header("X-Request-Id");
        running.answer.error_verdict = answer.header("X-Run-Verdict");
        running.answer.tokens = {answer.body};
        running.ended = true;
    });
    calls_[now.subject] = std::move(call);
}

void scenario_run::resume(const step& now) {
    running_call& first = call_named(now.text_of("of"));
    require(
        eventually([&] { return first.ended.load(); }),
        "the call to be resumed is still being read");
    auto call = std::make_unique<running_call>();
    running_call& running = *call;
    running.options = first.options;
    running.options.on_token = {};
    running.first_offset = first.answer.tokens.size();
    const base::address where = instance(now.text_of("at")).caller;
    running.thread =
        std::thread([&running, where, id = first.answer.request_id] {
            running.answer = harness::resume(
                where, harness::norrvik_key, id,
                std::to_string(running.first_offset));
            running.ended = true;
        });
    calls_[now.subject] = std::move(call);
}

void scenario_run::put(const step& now) {
    auto call = std::make_unique<running_call>();
    const auto answer = cluster().operate(
        instance(now.text_of("at", "entry-1")), "PUT",
        "/v1/resources/request_class/" + now.subject,
        json{{"first_token_ms", now.number("first_token_ms", 100)}}.dump(),
        now.text_of("revision"));
    call->answer.status = answer.status;
    call->answer.error_verdict = answer.header("X-Run-Verdict");
    call->ended = true;
    calls_[now.subject] = std::move(call);
}

void scenario_run::wait(const step& now) {
    running_call& call = call_named(now.subject);
    const std::uint64_t tokens = now.number("tokens");
    const bool held = eventually([&] {
        return call.ended || (!now.has("ended") && call.tokens >= tokens);
    });
    require(held, fmt::format("only {} tokens came", call.tokens.load()));
    require(
        now.has("ended") || call.tokens >= tokens,
        fmt::format("it ended after {} tokens", call.tokens.load()));
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

void scenario_run::act(const step& now) {
    using handler = void (scenario_run::*)(const step&);
    static const std::map<std::string, handler> handlers{
        {"system", &scenario_run::prepare},
        {"setting", &scenario_run::prepare},
        {"kill", &scenario_run::act_on_process},
        {"stop", &scenario_run::act_on_process},
        {"pause", &scenario_run::act_on_process},
        {"continue", &scenario_run::act_on_process},
        {"start", &scenario_run::start},
        {"link", &scenario_run::set_link},
        {"store", &scenario_run::set_store},
        {"drain", &scenario_run::drain},
        {"send", &scenario_run::send},
        {"call", &scenario_run::call_desk},
        {"resume", &scenario_run::resume},
        {"put", &scenario_run::put},
        {"wait", &scenario_run::wait}};
    constexpr base::milliseconds at_once{0};
    constexpr base::milliseconds long_enough{20000};
    if (now.verb == "desk")
        return desk_.set_silent(now.has("silent"));
    if (now.verb == "expect")
        return expect(now, at_once);
    if (now.verb == "eventually")
        return expect(now, long_enough);
    (this->*handlers.at(now.verb))(now);
}

std::string scenario_run::records() {
    std::string text;
    for (const auto& [name, call] : calls_) {
        const std::string& id = call->answer.request_id;
        if (id.empty())
            continue;
        for (auto& item : cluster().instances()) {
            if (!item.process->running())
                continue;
            const auto why = cluster().operate(item, "GET", "/v1/why/" + id);
            text += fmt::format("{} ({}):\n{}\n", name, id, why.body);
            break;
        }
    }
    return text;
}

std::string scenario_run::run(const std::vector<step>& steps) {
    for (const step& now : steps) {
        try {
            act(now);
        } catch (const std::exception& error) {
            std::string text = fmt::format(
                "line {}: {}\n  {}\n", now.line, now.text, error.what());
            desk_.set_silent(false);
            if (cluster_)
                text += records() + cluster_->logs();
            return text;
        }
    }
    desk_.set_silent(false);
    return {};
}

} // namespace

std::string run_script(const std::vector<step>& steps) {
    return scenario_run().run(steps);
}

} // namespace mintknot::scenario
