#include "platform_trial.hpp"

#include "soak_system.hpp"

#include <mintknot/harness/scratch_directory.hpp>

namespace mintknot::crowds {

namespace {

constexpr base::milliseconds start_limit{15000};
constexpr int status_ok = 200;
constexpr const char* ordinary_request =
    "POST /safe/x HTTP/1.1\r\nHost: soak.example\r\n"
    "X-Mintknot-Request-Id: ordinary\r\nX-Mintknot-Deadline-Ms: 2000\r\n"
    "Content-Length: 2\r\n\r\nhi";

soak::group_form form_of(const machine_limits& limits) {
    soak::group_form form;
    form.direct_callers = true;
    form.memory_mb = limits.memory_mb;
    form.max_descriptors = limits.max_descriptors;
    return form;
}

base::address
address_of(const soak::soak_system& system, platform_target target) {
    switch (target) {
    case platform_target::readiness:
        return system.readiness(0);
    case platform_target::peers:
        return system.peers(0);
    default:
        return system.entry(0);
    }
}

trial_subject subject_of(soak::soak_system& system, platform_target target) {
    return {
        *system.instances().front().running,
        address_of(system, target),
        system.entry(0),
        {system.entry(0), system.readiness(0), system.peers(0)},
        ordinary_request};
}

/// A system and a trial of its only instance.
struct platform_system {
    platform_system(const machine_limits& limits, platform_target target)
        : system(directory.path, 1, form_of(limits))
        , trial(subject_of(system, target))
        , started(trial.ask_until_answered(start_limit) == status_ok) {}

    harness::scratch_directory directory;
    soak::soak_system system;
    crowd_trial trial;
    bool started;
};

} // namespace

std::optional<trial_result> run_platform_trial(
    const crowd_plan& plan, const machine_limits& limits,
    platform_target target) {
    platform_system at(limits, target);
    if (!at.started)
        return std::nullopt;
    return at.trial.play(plan);
}

std::vector<int> run_calm(
    const std::vector<std::string>& requests, const machine_limits& limits) {
    platform_system at(limits, platform_target::callers);
    std::vector<int> statuses;
    for (const std::string& bytes : requests)
        statuses.push_back(at.started ? at.trial.ask(bytes, request_limit) : 0);
    return statuses;
}

} // namespace mintknot::crowds
