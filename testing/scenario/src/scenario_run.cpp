#include "scenario_run.hpp"

#include "scenario_runner.hpp"

#include <mintknot/base/json_reader.hpp>

#include <fmt/format.h>

#include <signal.h>

#include <sstream>

namespace mintknot::scenario {

namespace {

using harness::eventually;
using nlohmann::json;

json resource(const char* kind, const std::string& name, const json& spec) {
    return {{"kind", kind}, {"name", name}, {"spec", spec}};
}

} // namespace

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

std::string run_script(const std::vector<step>& steps) {
    return scenario_run().run(steps);
}

} // namespace mintknot::scenario
