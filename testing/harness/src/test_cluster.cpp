#include <mintknot/harness/test_cluster.hpp>

#include <mintknot/base/json_reader.hpp>
#include <mintknot/base/sha256.hpp>
#include <mintknot/harness/free_ports.hpp>

#include <fmt/format.h>

#include <stdlib.h>

#include <filesystem>
#include <fstream>
#include <sstream>
#include <stdexcept>
#include <thread>

namespace mintknot::harness {

namespace {

using nlohmann::json;

constexpr base::milliseconds look_period{10};

base::address loopback(std::uint16_t port) {
    return {"127.0.0.1", port};
}

std::string make_directory() {
    auto pattern =
        (std::filesystem::temp_directory_path() / "mintknot-XXXXXX").string();
    if (mkdtemp(pattern.data()) == nullptr)
        throw std::runtime_error("no temporary directory");
    return pattern;
}

json resource(const char* kind, const std::string& name, const json& spec) {
    return {{"kind", kind}, {"name", name}, {"spec", spec}};
}

json server(
    const std::string& pool, const base::address& where,
    const std::string& data_centre) {
    return {
        {"pool", pool},
        {"address", base::to_string(where)},
        {"data_centre", data_centre}};
}

json first_resources() {
    return json::array(
        {resource("service", "assistant", {{"model", "m1"}}),
         resource(
             "pool", "prefill",
             {{"service", "assistant"}, {"role", "prefill"}}),
         resource(
             "pool", "decode", {{"service", "assistant"}, {"role", "decode"}}),
         resource(
             "request_class", "urgent",
             {{"first_token_ms", 500}, {"priority", 5}}),
         resource(
             "request_class", "default",
             {{"first_token_ms", 4000}, {"retry_percent", 50}}),
         resource(
             "organisation", "norrvik",
             {{"key_sha256", {base::sha256_hex(norrvik_key)}},
              {"most_open", 1000}}),
         resource(
             "organisation", "school",
             {{"key_sha256", {base::sha256_hex(school_key)}},
              {"classes", {"default"}},
              {"most_open", 4}})});
}

} // namespace

bool eventually(
    const std::function<bool()>& condition, base::milliseconds longest) {
    const auto deadline = base::steady_clock::now() + longest;
    while (!condition()) {
        if (base::steady_clock::now() >= deadline)
            return false;
        std::this_thread::sleep_for(look_period);
    }
    return true;
}

test_cluster::test_cluster(const cluster_options& options)
    : directory_(make_directory())
    , engine_arguments_(options.engine_arguments) {
    platform_ = std::make_unique<child_process>(
        "fake-platform", std::vector<std::string>{},
        directory_ + "/platform.log");
    platform_at_ = loopback(platform_->wait_for_port());
    if (options.proxied) {
        proxy_ = std::make_unique<child_process>(
            "fault-proxy", std::vector<std::string>{},
            directory_ + "/proxy.log");
        proxy_control_ = loopback(proxy_->wait_for_port());
    }
    const std::size_t engines =
        options.prefill_engines + options.decode_engines;
    for (std::size_t i = 0; i < engines; ++i) {
        const bool prefill = i < options.prefill_engines;
        const std::size_t number =
            prefill ? i + 1 : i + 1 - options.prefill_engines;
        engines_.push_back(
            {fmt::format("{}{}", prefill ? "p" : "d", number),
             loopback(free_port()),
             {},
             nullptr});
        start_engine(engines_.back());
        engines_.back().seen_at =
            add_link(engines_.back().name, engines_.back().where);
    }
    write_settings(options);
    resources_ = first_resources();
    for (const cluster_engine& engine : engines_)
        resources_.push_back(resource(
            "backend_server", engine.name,
            server(
                engine.name.front() == 'p' ? "prefill" : "decode",
                engine.seen_at, options.data_centres.front())));
    resources_.insert(
        resources_.end(), options.resources.begin(), options.resources.end());
    for (cluster_instance& instance : instances_)
        start_instance(instance);
    wait_until_up();
    if (options.apply)
        apply();
}

test_cluster::~test_cluster() {
    instances_.clear();
    engines_.clear();
    proxy_.reset();
    platform_.reset();
    std::error_code ignored;
    std::filesystem::remove_all(directory_, ignored);
}

void test_cluster::start_engine(cluster_engine& engine) {
    std::vector<std::string> arguments = engine_arguments_;
    arguments.push_back("--port");
    arguments.push_back(std::to_string(engine.where.port));
    engine.process = std::make_unique<child_process>(
        "fake-engine", arguments, directory_ + "/" + engine.name + ".log");
    engine.process->wait_for_port();
}

void test_cluster::start_instance(cluster_instance& instance) {
    instance.process = std::make_unique<child_process>(
        "mintknotd",
        std::vector<std::string>{"--settings", instance.settings_file},
        directory_ + "/" + instance.name + ".log");
}

base::address
test_cluster::add_link(const std::string& name, const base::address& to) {
    if (!proxy_)
        return to;
    const auto answer = client_.call(
        proxy_control_,
        {.method = "POST",
         .path = "/links",
         .body = json{{"name", name}, {"to", base::to_string(to)}}.dump()});
    return loopback(base::field_or(
        json::parse(answer.body, nullptr, false), "port", std::uint16_t{0}));
}

void test_cluster::link_fault(const std::string& link, const json& fault) {
    const auto answer = client_.call(
        proxy_control_,
        {.method = "POST", .path = "/links/" + link, .body = fault.dump()});
    if (!answer.ok())
        throw std::runtime_error("link " + link + ": " + answer.body);
}

void test_cluster::write_settings(const cluster_options& options) {
    const std::string platform =
        base::to_string(add_link("platform", platform_at_));
    std::vector<json> all;
    json seeds = json::array();
    for (std::size_t i = 0; i < options.instances; ++i) {
        cluster_instance instance;
        instance.name = fmt::format("entry-{}", i + 1);
        instance.data_centre =
            options.data_centres[i % options.data_centres.size()];
        instance.settings_file = directory_ + "/" + instance.name + ".json";
        instance.caller = loopback(free_port());
        instance.operators = loopback(free_port());
        const std::string heartbeat = base::to_string(loopback(free_port()));
        if (i < 2)
            seeds.push_back(heartbeat);
        json settings{
            {"instance", instance.name},
            {"data_centre", instance.data_centre},
            {"caller", {{"listen", base::to_string(instance.caller)}}},
            {"operators",
             {{"listen", base::to_string(instance.operators)},
              {"keys",
               {{{"name", "ops"},
                 {"key_sha256", base::sha256_hex(operator_key)}}}}}},
            {"peers",
             {{"rpc", base::to_string(loopback(free_port()))},
              {"heartbeat", heartbeat},
              {"heartbeat_interval_ms", 100},
              {"gone_after_ms", 1000}}},
            {"platform", {{"address", platform}, {"poll_interval_ms", 200}}},
            {"engines", {{"report_interval_ms", 50}}}};
        settings.merge_patch(options.settings);
        all.push_back(std::move(settings));
        instances_.push_back(std::move(instance));
    }
    for (std::size_t i = 0; i < all.size(); ++i) {
        all[i]["peers"]["seeds"] = seeds;
        std::ofstream(instances_[i].settings_file) << all[i].dump(2);
    }
}

void test_cluster::wait_until_up() {
    for (const cluster_instance& instance : instances_) {
        const bool up = eventually([&] {
            return client_.call(instance.operators, {.path = "/healthz"}).ok();
        });
        if (!up)
            throw std::runtime_error(instance.name + " does not come up");
    }
}

/// Ready with the revision, all instances known, its engines read.
bool test_cluster::is_settled(
    const cluster_instance& instance, std::size_t revision) {
    const auto answer = operate(instance, "GET", "/v1/status");
    const json status = json::parse(answer.body, nullptr, false);
    const json engines = base::field_or(status, "engines", json::array());
    const bool all_read =
        std::all_of(engines.begin(), engines.end(), [&](const json& item) {
            // Plain servers make no reports, and loads stay within their data
            // centre.
            return base::field_or(item, "reachable", false) ||
                   item["pool"] == "plain" ||
                   item["data_centre"] != instance.data_centre;
        });
    const json known = base::field_or(status, "instances", json::array());
    return base::field_or(status, "ready", false) && all_read &&
           base::field_or(status, "config_revision", 0U) >= revision &&
           known.size() == instances_.size();
}

void test_cluster::apply() {
    for (const json& item : resources_)
        put(item["kind"], item["name"], item["spec"]);
    const std::size_t revision = resources_.size();
    for (const cluster_instance& instance : instances_)
        if (!eventually([&] { return is_settled(instance, revision); }))
            throw std::runtime_error(
                instance.name + " does not become ready:\n" + logs());
}

std::string test_cluster::write_resources() const {
    std::string file = directory_ + "/resources.json";
    std::ofstream(file) << json{{"resources", resources_}}.dump(2) << "\n";
    return file;
}

net::http_response test_cluster::operate(
    const cluster_instance& instance, const std::string& method,
    const std::string& path, const std::string& body,
    const std::string& if_match) {
    net::http_request request;
    request.method = method;
    request.path = path;
    request.body = body;
    request.headers.push_back(
        {"Authorization", std::string("Bearer ") + operator_key});
    if (!if_match.empty())
        request.headers.push_back({"If-Match", if_match});
    return client_.call(instance.operators, request);
}

void test_cluster::put(
    const std::string& kind, const std::string& name, const json& spec) {
    const std::string path = "/v1/resources/" + kind + "/" + name;
    const auto answer = operate(instances_[0], "PUT", path, spec.dump(), "*");
    if (!answer.ok())
        throw std::runtime_error("put " + path + ": " + answer.body);
}

std::uint64_t test_cluster::truth(const std::string& figure) {
    std::uint64_t sum = 0;
    for (cluster_engine& engine : engines_) {
        if (!engine.process || !engine.process->running())
            continue;
        const auto answer =
            client_.call(engine.where, {.path = "/v1/ground_truth"});
        sum += base::field_or(
            json::parse(answer.body, nullptr, false), figure.c_str(),
            std::uint64_t{0});
    }
    return sum;
}

void test_cluster::platform_faults(const json& faults) {
    client_.call(
        platform_at_,
        {.method = "POST", .path = "/control/faults", .body = faults.dump()});
}

std::string test_cluster::logs() const {
    std::string all;
    for (const auto& file : std::filesystem::directory_iterator(directory_)) {
        if (file.path().extension() != ".log")
            continue;
        std::ostringstream text;
        text << std::ifstream(file.path()).rdbuf();
        all += "--- " + file.path().filename().string() + "\n" + text.str();
    }
    return all;
}

} // namespace mintknot::harness
