/// @file
/// The planned work of a soak: stops, drains, SIGHUP, new configurations.

#include "soak_faults.hpp"

#include "soak_parts.hpp"

#include <csignal>

namespace mintknot::soak {

void fault_injector::planned_work() {
    const std::size_t index = pick(system_.instances().size());
    switch (draw(0, 3)) {
    case 0:
        if (stopping_.empty())
            stop_instance(earlier_instance().value_or(index));
        break;
    case 1:
        if (draining_.empty())
            drain_server(pick(system_.servers().size()));
        break;
    case 2:
        note("new configuration");
        system_.change_configuration();
        break;
    default:
        if (stopping_.contains(index))
            break;
        note(fmt::format("SIGHUP instance {}", index));
        system_.instances()[index].running->signal(SIGHUP);
    }
}

std::optional<std::size_t> fault_injector::earlier_instance() const {
    for (std::size_t i = 0; i < system_.instances().size(); ++i)
        if (system_.is_earlier(i))
            return i;
    return std::nullopt;
}

void fault_injector::drain_server(std::size_t index) {
    note(fmt::format("SIGTERM server {}", index));
    system_.end_life(index);
    draining_.insert(index);
    resume(system_.servers()[index], server_part(index));
    system_.servers()[index].running->signal(SIGTERM);
    wait_for_drained(index);
}

void fault_injector::wait_for_drained(std::size_t index) {
    later(end_poll, [this, index] {
        if (system_.servers()[index].running->running()) {
            wait_for_drained(index);
            return;
        }
        system_.restart_server(index);
        draining_.erase(index);
    });
}

void fault_injector::stop_instance(std::size_t index) {
    note(fmt::format("SIGTERM instance {}", index));
    stopping_.insert(index);
    resume(system_.instances()[index], instance_part(index));
    begin(instance_part(index));
    system_.instances()[index].running->signal(SIGTERM);
    wait_for_stopped(index);
}

void fault_injector::wait_for_stopped(std::size_t index) {
    later(end_poll, [this, index] {
        if (system_.instances()[index].running->running())
            wait_for_stopped(index);
        else
            start_instance(index);
    });
}

void fault_injector::start_instance(std::size_t index) {
    note(fmt::format("start instance {}", index));
    system_.restart_instance(index);
    end(instance_part(index));
    stopping_.erase(index);
}

} // namespace mintknot::soak
