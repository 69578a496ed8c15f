/// @file
/// The part of a soak that notices processes that have ended by themselves.

#include "soak_faults.hpp"
#include "soak_parts.hpp"

#include <fmt/format.h>

namespace mintknot::soak {

namespace {

/// How long a process is away that has ended by itself.
constexpr int crash_downtime = 2500;

} // namespace

void fault_injector::watch_processes() {
    watch_servers();
    watch_instances();
    watch_timer_.start(
        base::milliseconds(end_poll), [this] { watch_processes(); });
}

void fault_injector::watch_servers() {
    for (std::size_t i = 0; i < system_.servers().size(); ++i) {
        if (draining_.contains(i) || system_.servers()[i].running->running())
            continue;
        note(fmt::format("server {} has ended", i));
        system_.end_life(i);
        begin(server_part(i));
        draining_.insert(i);
        later(crash_downtime, [this, i] {
            system_.restart_server(i);
            end(server_part(i));
            draining_.erase(i);
        });
    }
}

void fault_injector::watch_instances() {
    for (std::size_t i = 0; i < system_.instances().size(); ++i) {
        if (stopping_.contains(i) || system_.instances()[i].running->running())
            continue;
        note(fmt::format("instance {} has ended", i));
        own_ends_.push_back(fmt::format(
            "instance {} has ended by itself, with code {}", i,
            system_.instances()[i].running->wait()));
        begin(instance_part(i));
        stopping_.insert(i);
        later(crash_downtime, [this, i] { start_instance(i); });
    }
}

} // namespace mintknot::soak
