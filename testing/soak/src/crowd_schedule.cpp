#include "crowd_schedule.hpp"

#include "process_usage.hpp"

#include <fmt/format.h>

#include <algorithm>

namespace mintknot::soak {

namespace {

constexpr base::milliseconds crowd_interval{700};
constexpr base::milliseconds watch_interval{20};
/// Crowds whose connections are open at the same time.
constexpr std::size_t max_crowds = 3;
constexpr std::size_t mebibyte = 1024 * 1024;

} // namespace

crowd_schedule::crowd_schedule(
    event::loop& owner, soak_system& system, std::uint64_t seed)
    : owner_(owner)
    , system_(system)
    , random_(seed)
    , crowd_timer_(owner)
    , watch_timer_(owner) {}

void crowd_schedule::start() {
    begin_crowd();
    watch();
}

void crowd_schedule::stop() {
    crowd_timer_.stop();
    watch_timer_.stop();
    crowds_.clear();
}

std::vector<std::string> crowd_schedule::broken() const {
    return {broken_.begin(), broken_.end()};
}

void crowd_schedule::begin_crowd() {
    if (crowds_.size() == max_crowds)
        crowds_.erase(crowds_.begin());
    const std::size_t instance = random_() % system_.instances().size();
    crowds_.push_back(std::make_unique<crowds::crowd_clients>(
        owner_, system_.own_entry(instance), crowds::random_crowd(random_)));
    crowds_.back()->start();
    crowd_timer_.start(crowd_interval, [this] { begin_crowd(); });
}

void crowd_schedule::watch() {
    const std::size_t max_memory = system_.form().memory_mb * mebibyte;
    for (std::size_t i = 0; i < system_.instances().size(); ++i) {
        harness::child_process& process = *system_.instances()[i].running;
        if (!process.running())
            continue;
        const crowds::process_usage usage =
            crowds::read_usage(process.pid(), {system_.own_entry(i)});
        if (usage.resident_bytes + usage.unread_bytes > max_memory ||
            usage.max_resident_bytes > max_memory)
            broken_.insert(
                fmt::format("instance {} held more than its machine has", i));
        if (usage.descriptors > system_.form().max_descriptors)
            broken_.insert(
                fmt::format("instance {} took too many descriptors", i));
    }
    watch_timer_.start(watch_interval, [this] { watch(); });
}

} // namespace mintknot::soak
