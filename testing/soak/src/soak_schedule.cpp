#include "soak_schedule.hpp"

#include <fmt/format.h>

#include <csignal>
#include <utility>

namespace mintknot::soak {

namespace {

/// Between two tries of a request that crashes servers.
constexpr base::milliseconds crashing_pause{400};
constexpr base::milliseconds time_to_words{1000};
/// Between two requests with the same part that crashes engines.
constexpr base::milliseconds part_pause{250};
/// Between two engines of a rollout: a drain takes some seconds, so that
/// several are away at once.
constexpr base::milliseconds rollout_pause{700};
constexpr std::size_t engines_killed = 2;
/// Time between the last write that a restore loses and the restore.
constexpr base::milliseconds lost_write_lead{400};
/// Time between a restore and the first attempt to repeat that write.
constexpr base::milliseconds rewrite_delay{600};
constexpr base::milliseconds poll{20};

} // namespace

soak_schedule::soak_schedule(
    event::loop& owner, const soak_options& options, schedule_parts parts)
    : owner_(owner)
    , options_(options)
    , parts_(parts)
    , foreign_writer_(owner, parts.system.store_address(), options.seed)
    , crash_timer_(owner)
    , word_timer_(owner)
    , limit_timer_(owner) {}

void soak_schedule::start() {
    if (options_.foreign_rows)
        foreign_writer_.start();
    if (!options_.crashing.empty())
        send_crashing();
    if (!options_.crashing_parts.empty())
        later(options_.parts_begin, [this] { send_crashing_parts(); });
    word_timer_.start(time_to_words, [this] { speak(); });
    if (options_.limits_end > base::milliseconds{0})
        limit_timer_.start(options_.limits_end, [this] { toggle_limits(); });
    for (const base::milliseconds when : options_.restores)
        plan_restore(when);
    faults_end_ = owner_.now() + options_.length;
    plan_rollouts();
    plan_kills();
    plan_skews();
}

void soak_schedule::stop() {
    crash_timer_.stop();
    word_timer_.stop();
    limit_timer_.stop();
    foreign_writer_.stop();
}

void soak_schedule::plan_rollouts() {
    for (const rollout& planned : options_.rollouts) {
        base::milliseconds at = planned.at;
        for (const std::size_t engine : parts_.system.engines()) {
            later(at, [this, engine, version = planned.version] {
                parts_.system.set_version(engine, version);
                parts_.faults.drain_one_server(engine);
            });
            at += rollout_pause;
        }
    }
}

void soak_schedule::plan_kills() {
    for (const base::milliseconds when : options_.instance_kills)
        later(when, [this] {
            parts_.faults.kill_instances(options_.instances / 2);
        });
    for (const base::milliseconds when : options_.group_kills)
        later(
            when, [this] { parts_.faults.kill_instances(options_.instances); });
    for (const base::milliseconds when : options_.instance_stops)
        later(when, [this] {
            parts_.faults.stop_instances(options_.instances / 2);
        });
    for (const base::milliseconds when : options_.engine_kills)
        later(when, [this] { parts_.faults.kill_engines(engines_killed); });
}

void soak_schedule::plan_skews() {
    for (const connection_skew& skew : options_.skews) {
        later(skew.from, [this, skew] { parts_.clients.begin_skew(skew); });
        later(skew.until, [this] { parts_.clients.end_skew(); });
    }
}

void soak_schedule::plan_restore(base::milliseconds when) {
    later(when - lost_write_lead, [this] {
        parts_.system.change_configuration();
        parts_.faults.drain_random_server();
    });
    later(when, [this] { parts_.system.restore_store(); });
    later(when + rewrite_delay, [this] { rewrite_configuration(); });
}

void soak_schedule::rewrite_configuration() {
    if (!parts_.system.rewrite_configuration())
        later(poll, [this] { rewrite_configuration(); });
}

void soak_schedule::later(
    base::milliseconds delay, std::function<void()> action) {
    timers_.push_back(std::make_unique<event::timer>(owner_));
    timers_.back()->start(delay, std::move(action));
}

void soak_schedule::send_crashing() {
    for (std::size_t i = 0; i < options_.crashing.size(); ++i)
        parts_.clients.send_crashing(
            options_.crashing[i], crashing_tries_ % options_.instances,
            fmt::format("crash {}", i));
    ++crashing_tries_;
    crash_timer_.start(crashing_pause, [this] { send_crashing(); });
}

void soak_schedule::send_crashing_parts() {
    for (std::size_t i = 0; i < options_.crashing_parts.size(); ++i)
        parts_.clients.send_crashing_part(
            options_.crashing_parts[i], part_tries_ % options_.instances,
            fmt::format("bad{:05x}", i));
    ++part_tries_;
    if (owner_.now() < faults_end_)
        later(part_pause, [this] { send_crashing_parts(); });
}

void soak_schedule::speak() {
    for (const std::size_t server : options_.say_leaving)
        parts_.system.servers().at(server).running->signal(SIGUSR1);
    for (const std::size_t server : options_.ask_rest)
        parts_.system.servers().at(server).running->signal(SIGUSR2);
    toggle_limits();
}

void soak_schedule::toggle_limits() {
    for (const auto& [server, limit] : options_.advertised_limits)
        parts_.system.servers().at(server).running->signal(SIGHUP);
}

} // namespace mintknot::soak
