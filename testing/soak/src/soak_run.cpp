#include "soak_run.hpp"

#include "foreign_writer.hpp"
#include "scratch_directory.hpp"
#include "soak_clients.hpp"
#include "soak_faults.hpp"
#include "soak_judgement.hpp"
#include "soak_system.hpp"

#include <mintknot/event/loop.hpp>

#include <fmt/format.h>

#include <functional>
#include <memory>
#include <set>
#include <vector>

namespace mintknot::soak {

namespace {

constexpr base::milliseconds poll{20};
constexpr base::milliseconds start_time{15000};
constexpr base::milliseconds recovery_time{12000};
constexpr base::milliseconds caller_pause{120};
/// Within which a configuration is in force after the faults have ended.
constexpr base::milliseconds configuration_time{2500};
/// Between two tries of a request that crashes servers.
constexpr base::milliseconds crashing_pause{400};
constexpr base::milliseconds time_to_words{1000};
/// Between two requests with the same part that crashes engines.
constexpr base::milliseconds part_pause{250};
constexpr int status_not_found = 404;
/// Between two engines of a rollout: a drain takes some seconds, so that
/// several are away at once.
constexpr base::milliseconds rollout_pause{700};
constexpr std::size_t engines_killed = 2;
/// Time between the last write that a restore loses and the restore.
constexpr base::milliseconds lost_write_lead{400};
/// Time between a restore and the first attempt to repeat that write.
constexpr base::milliseconds rewrite_delay{600};

fault_kinds kinds_of(const soak_options& options) {
    if (options.undisturbed)
        return fault_kinds::none;
    if (options.planned_only)
        return fault_kinds::planned_work;
    return options.suspensions ? fault_kinds::suspensions : fault_kinds::all;
}

std::vector<server_cut>
cuts_of(const soak_options& options, std::size_t servers) {
    if (!options.random_cuts)
        return options.cuts;
    return draw_cuts(
        {options.instances, options.data_centres, servers,
         options.plain_servers, options.length},
        options.seed);
}

class soak {
public:
    explicit soak(const soak_options& options)
        : options_(options)
        , system_(
              directory_.path, options.instances,
              {options.schedulers, options.max_flat_group,
               options.decode_engines, options.plain_servers,
               options.earlier_program, options.advertised_limits,
               options.scarce_capacity,
               options.random_cuts || !options.cuts.empty(),
               options.data_centres, options.event_time, options.pause,
               options.unused_routes, options.answers_without_length,
               options.grace})
        , clients_(owner_, entries(), options.seed)
        , faults_(owner_, system_, kinds_of(options), options.seed)
        , cuts_(owner_, system_, cuts_of(options, system_.servers().size()))
        , foreign_writer_(owner_, system_.store_address(), options.seed)
        , poll_timer_(owner_)
        , crash_timer_(owner_)
        , word_timer_(owner_)
        , limit_timer_(owner_) {}

    soak_result run() {
        play();
        if (!result_.broken.empty()) {
            directory_.kept = true;
            result_.logs = directory_.path;
        }
        return result_;
    }

private:
    void play() {
        if (!all_serve(start_time)) {
            result_.broken.emplace_back("the system did not start");
            return;
        }
        if (options_.take_ups)
            clients_.take_up_streams();
        if (options_.answers_without_length)
            clients_.use_both_versions();
        clients_.start(options_.callers, caller_pause);
        faults_.start();
        cuts_.start();
        if (options_.foreign_rows)
            foreign_writer_.start();
        if (!options_.crashing.empty())
            send_crashing();
        if (!options_.crashing_parts.empty())
            later(options_.parts_begin, [this] { send_crashing_parts(); });
        word_timer_.start(time_to_words, [this] { speak(); });
        if (options_.limits_end > base::milliseconds{0})
            limit_timer_.start(
                options_.limits_end, [this] { toggle_limits(); });
        for (const base::milliseconds when : options_.restores)
            plan_restore(when);
        faults_end_ = owner_.now() + options_.length;
        plan_rollouts();
        plan_kills();
        run_until([] { return false; }, options_.length);
        crash_timer_.stop();
        word_timer_.stop();
        limit_timer_.stop();
        foreign_writer_.stop();
        faults_.heal();
        cuts_.heal();
        if (!all_serve(recovery_time))
            result_.broken.emplace_back(
                "not everything was served again in time");
        check_configuration();
        clients_.stop();
        run_until([&] { return clients_.open() == 0; }, recovery_time);
        judge();
    }

    void plan_rollouts() {
        for (const rollout& planned : options_.rollouts) {
            base::milliseconds at = planned.at;
            for (const std::size_t engine : system_.engines()) {
                later(at, [this, engine, version = planned.version] {
                    system_.set_version(engine, version);
                    faults_.drain_one_server(engine);
                });
                at += rollout_pause;
            }
        }
    }

    void plan_kills() {
        for (const base::milliseconds when : options_.instance_kills)
            later(when, [this] {
                faults_.kill_instances(options_.instances / 2);
            });
        for (const base::milliseconds when : options_.instance_stops)
            later(when, [this] {
                faults_.stop_instances(options_.instances / 2);
            });
        for (const base::milliseconds when : options_.engine_kills)
            later(when, [this] { faults_.kill_engines(engines_killed); });
    }

    void plan_restore(base::milliseconds when) {
        later(when - lost_write_lead, [this] {
            system_.change_configuration();
            faults_.drain_random_server();
        });
        later(when, [this] { system_.restore_store(); });
        later(when + rewrite_delay, [this] { rewrite_configuration(); });
    }

    /// Repeats the lost write until the store accepts it.
    void rewrite_configuration() {
        if (!system_.rewrite_configuration())
            later(poll, [this] { rewrite_configuration(); });
    }

    void later(base::milliseconds delay, std::function<void()> action) {
        timers_.push_back(std::make_unique<event::timer>(owner_));
        timers_.back()->start(delay, std::move(action));
    }

    void send_crashing() {
        for (std::size_t i = 0; i < options_.crashing.size(); ++i)
            clients_.send_crashing(
                options_.crashing[i], crashing_tries_ % options_.instances,
                fmt::format("crash {}", i));
        ++crashing_tries_;
        crash_timer_.start(crashing_pause, [this] { send_crashing(); });
    }

    void send_crashing_parts() {
        for (std::size_t i = 0; i < options_.crashing_parts.size(); ++i)
            clients_.send_crashing_part(
                options_.crashing_parts[i], part_tries_ % options_.instances,
                fmt::format("bad{:05x}", i));
        ++part_tries_;
        if (owner_.now() < faults_end_)
            later(part_pause, [this] { send_crashing_parts(); });
    }

    void speak() {
        for (const std::size_t server : options_.say_leaving)
            system_.servers().at(server).running->signal(SIGUSR1);
        for (const std::size_t server : options_.ask_rest)
            system_.servers().at(server).running->signal(SIGUSR2);
        toggle_limits();
    }

    /// Switches the advertisement of limits on or off.
    void toggle_limits() {
        for (const auto& [server, limit] : options_.advertised_limits)
            system_.servers().at(server).running->signal(SIGHUP);
    }

    std::vector<base::address> entries() const {
        std::vector<base::address> result;
        for (std::size_t i = 0; i < options_.instances; ++i)
            result.push_back(system_.entry(i));
        return result;
    }

    bool run_until(
        const std::function<bool()>& condition, base::milliseconds limit) {
        const auto end = owner_.now() + limit;
        bool met = false;
        std::function<void()> check = [&] {
            met = condition();
            if (met || owner_.now() >= end)
                owner_.stop();
            else
                poll_timer_.start(poll, [&] { check(); });
        };
        poll_timer_.start(poll, [&] { check(); });
        owner_.run();
        poll_timer_.stop();
        return met;
    }

    /// Asks every instance for every kind until each has answered once.
    bool all_serve(base::milliseconds limit) {
        std::set<std::pair<std::size_t, int>> served;
        const std::size_t wanted = options_.instances * 4;
        const auto asked =
            std::make_shared<std::set<std::pair<std::size_t, int>>>();
        return run_until(
            [&, asked] {
                for (std::size_t i = 0; i < options_.instances; ++i)
                    for (int kind = 0; kind < 4; ++kind) {
                        const std::pair<std::size_t, int> place{i, kind};
                        if (served.contains(place) || asked->contains(place))
                            continue;
                        asked->insert(place);
                        clients_.send(
                            static_cast<request_kind>(kind), i,
                            [asked, place,
                             found = &served](const caller_record& record) {
                                asked->erase(place);
                                if (record.status == 200 && record.whole)
                                    found->insert(place);
                            });
                    }
                return served.size() == wanted && asked->empty();
            },
            limit);
    }

    /// The newest configuration is in force everywhere, and no older one.
    void check_configuration() {
        if (!system_.change_configuration()) {
            result_.broken.emplace_back("the store took no configuration");
            return;
        }
        const int version = system_.configuration();
        run_until([] { return false; }, configuration_time);
        std::size_t open = options_.instances * 2;
        for (std::size_t i = 0; i < options_.instances; ++i) {
            const auto expect = [this, i, &open](int path, bool there) {
                clients_.probe(
                    fmt::format("/v{}/x", path), i,
                    [this, i, path, there, &open](int status) {
                        --open;
                        if ((status == status_not_found) == there)
                            result_.broken.push_back(fmt::format(
                                "instance {} answers {} for the route of "
                                "configuration {}",
                                i, status, path));
                    });
            };
            expect(version, true);
            expect(version - 1, false);
        }
        if (!run_until([&] { return open == 0; }, recovery_time))
            result_.broken.emplace_back("a probe got no answer in time");
    }

    void judge() {
        add_judgement(
            result_, options_,
            {clients_.records(), system_.notes(), faults_.disturbances(),
             cuts_.past(), system_.engine_lives()});
        result_.broken.insert(
            result_.broken.end(), faults_.own_ends().begin(),
            faults_.own_ends().end());
        result_.foreign_rows = foreign_writer_.taken();
        result_.faults = faults_.notes();
        result_.cuts = cuts_.notes();
    }

    soak_options options_;
    scratch_directory directory_;
    soak_system system_;
    event::loop owner_;
    soak_clients clients_;
    fault_injector faults_;
    cut_schedule cuts_;
    foreign_writer foreign_writer_;
    event::timer poll_timer_;
    event::timer crash_timer_;
    event::timer word_timer_;
    event::timer limit_timer_;
    std::vector<std::unique_ptr<event::timer>> timers_;
    std::size_t crashing_tries_ = 0;
    std::size_t part_tries_ = 0;
    base::steady_time faults_end_{};
    soak_result result_;
};

} // namespace

soak_result run_soak(const soak_options& options) {
    soak running(options);
    return running.run();
}

} // namespace mintknot::soak
