#include "soak_system.hpp"

#include "soak_configuration.hpp"
#include "soak_parts.hpp"
#include "store_requests.hpp"

#include <mintknot/event/datagrams.hpp>
#include <mintknot/event/loop.hpp>

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include <csignal>
#include <fstream>
#include <unistd.h>

namespace mintknot::soak {

namespace {

using nlohmann::json;

constexpr std::size_t prefill_engines = 2;
/// Of the software of all engines at the start.
constexpr const char* first_version = "v1";
/// Where the link of a server leads before the server has started.
const base::address nowhere{"127.0.0.1", 1};

std::string own_server_link(std::size_t instance, std::size_t server) {
    return fmt::format("way-{}-{}", instance, server);
}

std::uint16_t free_port() {
    event::loop owner;
    event::datagrams probe(owner);
    if (!probe.open({"127.0.0.1", 0}, [](auto&, auto) {}).ok())
        return 0;
    return probe.port();
}

} // namespace

soak_system::soak_system(
    std::string directory, std::size_t instances, const group_form& form)
    : directory_(std::move(directory))
    , form_(form)
    , port_(free_port()) {
    store_.program = "platform-store";
    store_.arguments = {"--views", path("views")};
    store_.running = std::make_unique<harness::child_process>(
        store_.program, store_.arguments, path("store.log"));
    store_port_ = store_.running->wait_for_port();
    change_configuration();
    for (std::size_t i = 0; i < prefill_engines; ++i)
        add_server("prefill");
    for (std::size_t i = 0; i < form.decode_engines; ++i)
        add_server("decode");
    for (std::size_t i = 0; i < form.plain_servers; ++i)
        add_server("");
    instances_.resize(instances);
    for (std::size_t i = 0; i < instances; ++i) {
        store_links_.push_back(
            add_link(fmt::format("store-{}", i), {"127.0.0.1", store_port_}));
        entry_links_.push_back(
            add_link(fmt::format("callers-{}", i), own_entry(i)));
        if (form.own_server_links)
            add_own_server_links(i);
    }
    write_views();
    for (std::size_t i = 0; i < instances; ++i)
        restart_instance(i);
}

void soak_system::add_own_server_links(std::size_t instance) {
    std::vector<base::address> links;
    for (std::size_t server = 0; server < servers_.size(); ++server) {
        const auto port = proxy_.add_link(
            own_server_link(instance, server), server_links_[server]);
        links.push_back(
            port.ok() ? base::address{"127.0.0.1", *port} : nowhere);
    }
    own_server_links_.push_back(std::move(links));
}

void soak_system::write_views() const {
    json views = json::object();
    for (std::size_t i = 0; i < own_server_links_.size(); ++i) {
        json& view = views[base::to_string(store_links_[i])];
        for (std::size_t server = 0; server < servers_.size(); ++server)
            view[base::to_string(server_links_[server])] =
                base::to_string(own_server_links_[i][server]);
    }
    std::ofstream(path("views")) << views.dump();
}

void soak_system::set_server_fault(
    std::size_t instance, std::size_t server,
    const standins::link_fault& fault) {
    set_fault(own_server_link(instance, server), fault);
}

void soak_system::add_server(const std::string& phase) {
    const std::size_t number = servers_.size();
    server_links_.push_back(
        add_link(fmt::format("server-{}", number), nowhere));
    servers_.emplace_back();
    servers_.back().program = "platform-engine";
    servers_.back().arguments = {phase};
    versions_.push_back(phase.empty() ? std::string() : first_version);
    restart_server(number);
}

base::address
soak_system::add_link(const std::string& name, const base::address& to) {
    const auto port = proxy_.add_link(name, to);
    links_.push_back(name);
    return port.ok() ? base::address{"127.0.0.1", *port} : nowhere;
}

void soak_system::set_fault(
    const std::string& link, const standins::link_fault& fault) {
    // The link exists, so there is nothing to be reported.
    proxy_.set_fault(link, fault).IgnoreError();
}

std::string soak_system::path(const std::string& name) const {
    return directory_ + "/" + name;
}

char soak_system::data_centre(std::size_t instance) const {
    return static_cast<char>('a' + instance % form_.data_centres);
}

std::string soak_system::host(std::size_t instance) const {
    return fmt::format("127.0.0.{}", 11 + instance);
}

base::address soak_system::entry(std::size_t instance) const {
    return form_.direct_callers ? own_entry(instance) : entry_links_[instance];
}

base::address soak_system::readiness(std::size_t instance) const {
    return {host(instance), static_cast<std::uint16_t>(port_ + 2)};
}

base::address soak_system::peers(std::size_t instance) const {
    return {host(instance), port_};
}

base::address soak_system::own_entry(std::size_t instance) const {
    return {host(instance), static_cast<std::uint16_t>(port_ + 1)};
}

void soak_system::restart_server(std::size_t index) {
    soak_process& server = servers_[index];
    const std::string phase = server.arguments.front();
    const std::string id = fmt::format("server-{}/{}", index, ++server_lives_);
    std::vector<std::string> arguments = {
        "--store",   fmt::format("127.0.0.1:{}", store_port_),
        "--id",      id,
        "--service", phase.empty() ? "app" : "llm",
        "--ledger",  path("ledger"),
        "--address", base::to_string(server_links_[index])};
    if (!phase.empty()) {
        arguments.emplace_back("--phase");
        arguments.push_back(phase);
    }
    const auto limit = form_.advertised_limits.find(index);
    if (limit != form_.advertised_limits.end())
        arguments.insert(arguments.end(), {"--limit", limit->second});
    const std::string& version = versions_[index];
    if (!version.empty())
        arguments.insert(arguments.end(), {"--software", version});
    if (form_.event_time > base::milliseconds{0})
        arguments.insert(
            arguments.end(),
            {"--event-ms", std::to_string(form_.event_time.count())});
    if (form_.pause > base::milliseconds{0})
        arguments.insert(
            arguments.end(),
            {"--pause-ms", std::to_string(form_.pause.count())});
    if (form_.answers_without_length)
        arguments.emplace_back("--without-length");
    if (form_.faulty_answers)
        arguments.emplace_back("--faulty");
    server.running.reset();
    server.running = std::make_unique<harness::child_process>(
        server.program, arguments, path("server.log"));
    const std::uint16_t port = server.running->wait_for_port();
    proxy_.retarget(fmt::format("server-{}", index), {"127.0.0.1", port})
        .IgnoreError();
    server.paused = false;
    if (!version.empty())
        lives_.push_back(
            {server_part(index), version, phase == "decode",
             base::steady_clock::now()});
}

void soak_system::set_version(std::size_t server, const std::string& version) {
    versions_[server] = version;
}

void soak_system::end_life(std::size_t server) {
    for (engine_life& life : lives_)
        if (life.part == server_part(server))
            life.until = std::min(life.until, base::steady_clock::now());
}

std::vector<std::size_t> soak_system::engines() const {
    std::vector<std::size_t> found;
    for (std::size_t i = 0; i < servers_.size(); ++i)
        if (!servers_[i].arguments.front().empty())
            found.push_back(i);
    return found;
}

std::string soak_system::write_settings(std::size_t instance) const {
    std::string file = path(fmt::format("settings-{}", instance));
    std::ofstream out(file);
    out << fmt::format(
        "node=e{}\nzone={}\nip={}\nlisten.front={}\nlisten.readiness={}\n"
        "port_range={},{}\nseeds={}:1,{}:1\nlimits.memory_mb={}\n"
        "limits.max_fds={}\nbounds.grace_s={}\nbounds.budget_extra=58\n"
        "platform.address={}\n",
        instance, data_centre(instance), host(instance),
        base::to_string(own_entry(instance)),
        base::to_string(readiness(instance)), port_, port_ + 3, host(0),
        host(1), form_.memory_mb, form_.max_descriptors, form_.grace.count(),
        base::to_string(store_links_[instance]));
    if (form_.scarce_capacity)
        out << "contracts=base,pressure\n";
    return file;
}

void soak_system::restart_instance(std::size_t index) {
    soak_process& instance = instances_[index];
    const bool first_life = instance.program.empty();
    instance.program = first_life && !form_.earlier_program.empty()
                           ? form_.earlier_program
                           : "mintknotd-platform";
    instance.arguments = {"--settings", write_settings(index)};
    if (form_.schedulers)
        instance.arguments.emplace_back("--always-schedule");
    if (form_.max_flat_group > 0) {
        instance.arguments.emplace_back("--max-flat-group");
        instance.arguments.push_back(std::to_string(form_.max_flat_group));
    }
    instance.running.reset();
    instance.running = std::make_unique<harness::child_process>(
        instance.program, instance.arguments,
        path(fmt::format("instance-{}.log", index)), harness::output_use::log);
    instance.paused = false;
}

bool soak_system::is_earlier(std::size_t instance) const {
    return instances_[instance].program == form_.earlier_program;
}

bool soak_system::change_configuration() {
    ++configuration_;
    return rewrite_configuration();
}

bool soak_system::rewrite_configuration() {
    return put_row(
        store_address(),
        {"op", "config",
         configuration_text(
             {configuration_, form_.scarce_capacity, form_.unused_routes})});
}

server_notes soak_system::notes() const {
    server_notes notes;
    std::ifstream ledger(path("ledger"));
    std::string what;
    std::string id;
    std::string server;
    std::int64_t at_ms = 0;
    while (ledger >> what >> id >> at_ms >> server)
        note(
            notes, what, id, base::steady_time(base::milliseconds(at_ms)),
            server.substr(0, server.find('/')));
    return notes;
}

} // namespace mintknot::soak
