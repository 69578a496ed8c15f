#include "soak_faults.hpp"

#include "soak_parts.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <csignal>
#include <numeric>

namespace mintknot::soak {

namespace {

using standins::link_fault;
using standins::link_mode;
using standins::silent_way;

/// Fewest and most milliseconds between two faults.
constexpr int min_wake_gap = 150;
constexpr int max_gap = 900;
constexpr millisecond_range pauses{100, 1500};
/// Of instances, where only these stand still.
constexpr millisecond_range suspensions{300, 3000};
constexpr int shortest_link_fault = 50;
constexpr int longest_link_fault = 2500;
constexpr base::milliseconds late{180};

struct named_fault {
    const char* name;
    link_fault fault;
};

const std::array<named_fault, 7> link_faults{{
    {"delay", {.mode = link_mode::delay, .delay = late}},
    {"cut", {.mode = link_mode::cut}},
    {"reset", {.mode = link_mode::reset}},
    {"lose the answers of", {.mode = link_mode::drop_answer}},
    {"silence", {.mode = link_mode::silence, .way = silent_way::both}},
    {"silence the way to the server of",
     {.mode = link_mode::silence, .way = silent_way::to_server}},
    {"silence the way to the caller of",
     {.mode = link_mode::silence, .way = silent_way::to_caller}},
}};

} // namespace

fault_injector::fault_injector(
    event::loop& owner, soak_system& system, fault_kinds kinds,
    std::uint64_t seed)
    : owner_(owner)
    , system_(system)
    , kinds_(kinds)
    , random_(seed)
    , timer_(owner)
    , watch_timer_(owner) {}

void fault_injector::start() {
    began_ = owner_.now();
    watch_processes();
    if (kinds_ != fault_kinds::none)
        plan_next();
}

void fault_injector::drain_random_server() {
    drain_one_server(pick(system_.servers().size()));
}

void fault_injector::drain_one_server(std::size_t index) {
    if (!draining_.contains(index))
        drain_server(index);
}

std::vector<std::size_t> fault_injector::shuffled_instances() {
    std::vector<std::size_t> order(system_.instances().size());
    std::iota(order.begin(), order.end(), std::size_t{0});
    std::shuffle(order.begin(), order.end(), random_);
    return order;
}

void fault_injector::kill_instances(std::size_t count) {
    const std::vector<std::size_t> order = shuffled_instances();
    for (std::size_t i = 0; i < std::min(count, order.size()); ++i)
        kill_instance(order[i]);
}

void fault_injector::stop_instances(std::size_t count) {
    const std::vector<std::size_t> order = shuffled_instances();
    for (std::size_t i = 0; i < std::min(count, order.size()); ++i)
        if (!stopping_.contains(order[i]))
            stop_instance(order[i]);
}

void fault_injector::kill_engines(std::size_t count) {
    std::vector<std::size_t> order;
    for (const std::size_t engine : system_.engines())
        if (system_.servers()[engine].arguments.front() == "decode")
            order.push_back(engine);
    std::shuffle(order.begin(), order.end(), random_);
    for (std::size_t i = 0; i < std::min(count, order.size()); ++i)
        kill_server(order[i]);
}

void fault_injector::heal() {
    note("end of the faults");
    timer_.stop();
    for (const std::string& name : system_.links())
        system_.set_fault(name, {});
    for (const std::string& name : broken_links_)
        end(name);
    broken_links_.clear();
    resume(system_.store(), "store");
    for (std::size_t i = 0; i < system_.servers().size(); ++i)
        resume(system_.servers()[i], server_part(i));
    for (std::size_t i = 0; i < system_.instances().size(); ++i)
        resume(system_.instances()[i], instance_part(i));
}

int fault_injector::draw(int low, int high) {
    return std::uniform_int_distribution<int>(low, high)(random_);
}

std::size_t fault_injector::pick(std::size_t bound) {
    return static_cast<std::size_t>(draw(0, static_cast<int>(bound) - 1));
}

void fault_injector::note(const std::string& what) {
    const auto at =
        std::chrono::duration_cast<base::milliseconds>(owner_.now() - began_);
    notes_.push_back(fmt::format("{:5} ms {}", at.count(), what));
}

void fault_injector::begin(const std::string& part) {
    disturbances_.push_back({part, owner_.now()});
}

void fault_injector::end(const std::string& part) {
    for (disturbance& one : disturbances_)
        if (one.part == part)
            one.until = std::min(one.until, owner_.now());
}

void fault_injector::later(int milliseconds, std::function<void()> action) {
    timers_.push_back(std::make_unique<event::timer>(owner_));
    timers_.back()->start(base::milliseconds(milliseconds), std::move(action));
}

void fault_injector::plan_next() {
    timer_.start(base::milliseconds(draw(min_wake_gap, max_gap)), [this] {
        switch (kinds_) {
        case fault_kinds::none:
            break;
        case fault_kinds::planned_work:
            planned_work();
            break;
        case fault_kinds::suspensions:
            suspension();
            break;
        case fault_kinds::all:
            fault();
            break;
        }
        plan_next();
    });
}

void fault_injector::fault() {
    switch (draw(0, 10)) {
    case 0:
        kill_server(pick(system_.servers().size()));
        break;
    case 1: {
        const std::size_t index = pick(system_.servers().size());
        pause(system_.servers()[index], server_part(index), pauses);
        break;
    }
    case 2: {
        const std::size_t index = pick(system_.instances().size());
        pause(system_.instances()[index], instance_part(index), pauses);
        break;
    }
    case 3:
        kill_instance(pick(system_.instances().size()));
        break;
    case 4:
        pause(system_.store(), "store", pauses);
        break;
    case 5:
        note("the store forgets its history");
        begin("store");
        system_.forget_history();
        end("store");
        break;
    case 6:
    case 7:
    case 8:
        fail_link(system_.links()[pick(system_.links().size())]);
        break;
    default:
        planned_work();
    }
}

void fault_injector::suspension() {
    if (draw(0, 2) == 0) {
        kill_server(pick(system_.servers().size()));
        return;
    }
    const std::size_t index = pick(system_.instances().size());
    pause(system_.instances()[index], instance_part(index), suspensions);
}

void fault_injector::fail_link(const std::string& name) {
    if (!broken_links_.insert(name).second)
        return;
    const named_fault& chosen = link_faults[pick(link_faults.size())];
    const int time = draw(shortest_link_fault, longest_link_fault);
    note(fmt::format("{} link {} for {} ms", chosen.name, name, time));
    begin(name);
    system_.set_fault(name, chosen.fault);
    later(time, [this, name] {
        if (broken_links_.erase(name) == 0)
            return;
        system_.set_fault(name, {});
        end(name);
    });
}

void fault_injector::kill_server(std::size_t index) {
    if (draining_.contains(index))
        return;
    note(fmt::format("kill server {}", index));
    system_.end_life(index);
    begin(server_part(index));
    system_.servers()[index].running->signal(SIGKILL);
    draining_.insert(index);
    later(draw(50, 800), [this, index] {
        system_.restart_server(index);
        end(server_part(index));
        draining_.erase(index);
    });
}

void fault_injector::kill_instance(std::size_t index) {
    if (stopping_.contains(index))
        return;
    note(fmt::format("kill instance {}", index));
    begin(instance_part(index));
    system_.instances()[index].running->signal(SIGKILL);
    stopping_.insert(index);
    later(draw(50, 800), [this, index] { start_instance(index); });
}

void fault_injector::pause(
    soak_process& process, const std::string& part,
    const millisecond_range& range) {
    if (process.paused)
        return;
    const int milliseconds = draw(range.min, range.max);
    note(fmt::format("pause {} for {} ms", part, milliseconds));
    begin(part);
    process.paused = true;
    process.running->signal(SIGSTOP);
    later(milliseconds, [this, &process, part] { resume(process, part); });
}

void fault_injector::resume(soak_process& process, const std::string& part) {
    if (!process.paused)
        return;
    process.paused = false;
    process.running->signal(SIGCONT);
    end(part);
}

} // namespace mintknot::soak
