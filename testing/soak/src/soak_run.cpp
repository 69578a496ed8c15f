#include "soak_run.hpp"

#include "crowd_schedule.hpp"
#include "processor_quota.hpp"
#include "soak_clients.hpp"
#include "soak_faults.hpp"
#include "soak_judgement.hpp"
#include "soak_schedule.hpp"
#include "soak_system.hpp"

#include <mintknot/event/loop.hpp>
#include <mintknot/harness/scratch_directory.hpp>

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
/// Within which a configuration is in force after the faults have ended.
constexpr base::milliseconds configuration_time{2500};
constexpr int status_not_found = 404;

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
               options.faulty_answers, options.grace, !options.skews.empty()})
        , clients_(owner_, entries(), options.seed)
        , faults_(owner_, system_, kinds_of(options), options.seed)
        , cuts_(owner_, system_, cuts_of(options, system_.servers().size()))
        , schedule_(owner_, options, {system_, clients_, faults_})
        , crowds_(owner_, system_, options.seed)
        , quota_(owner_, system_, options.processor_share)
        , poll_timer_(owner_) {}

    soak_result run() {
        play();
        if (options_.keep_logs || !result_.broken.empty()) {
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
        if (!options_.skews.empty())
            clients_.try_again_elsewhere();
        load_began_ = owner_.now();
        quota_.start();
        clients_.start(options_.callers, options_.caller_pause);
        faults_.start();
        cuts_.start();
        schedule_.start();
        if (options_.crowds)
            crowds_.start();
        run_until([] { return false; }, options_.length);
        schedule_.stop();
        crowds_.stop();
        quota_.stop();
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
             cuts_.past(), system_.engine_lives(), load_began_});
        result_.broken.insert(
            result_.broken.end(), faults_.own_ends().begin(),
            faults_.own_ends().end());
        const std::vector<std::string> over = crowds_.broken();
        result_.broken.insert(result_.broken.end(), over.begin(), over.end());
        result_.foreign_rows = schedule_.foreign_rows();
        result_.faults = faults_.notes();
        result_.cuts = cuts_.notes();
    }

    soak_options options_;
    harness::scratch_directory directory_;
    soak_system system_;
    event::loop owner_;
    soak_clients clients_;
    fault_injector faults_;
    cut_schedule cuts_;
    soak_schedule schedule_;
    crowd_schedule crowds_;
    processor_quota quota_;
    base::steady_time load_began_{};
    event::timer poll_timer_;
    soak_result result_;
};

} // namespace

soak_result run_soak(const soak_options& options) {
    soak running(options);
    return running.run();
}

} // namespace mintknot::soak
