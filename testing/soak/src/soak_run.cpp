#include "soak_run.hpp"

#include "soak_clients.hpp"
#include "soak_system.hpp"

#include <mintknot/event/loop.hpp>

#include <fmt/format.h>

#include <csignal>
#include <filesystem>
#include <functional>
#include <random>
#include <set>

namespace mintknot::soak {

namespace {

constexpr base::milliseconds poll{20};
constexpr base::milliseconds start_time{15000};
constexpr base::milliseconds recovery_time{12000};
constexpr base::milliseconds caller_pause{120};
/// Fewest and most milliseconds between two faults.
constexpr int least_gap = 150;
constexpr int most_gap = 900;
constexpr int longest_pause = 1500;

/// A directory that goes with the object.
struct scratch_directory {
    scratch_directory()
        : path((std::filesystem::temp_directory_path() / "soak-XXXXXX")
                   .string()) {
        if (::mkdtemp(path.data()) == nullptr)
            path.clear();
    }
    ~scratch_directory() {
        std::error_code ignored;
        std::filesystem::remove_all(path, ignored);
    }
    scratch_directory(const scratch_directory&) = delete;
    scratch_directory& operator=(const scratch_directory&) = delete;
    std::string path;
};

class soak {
public:
    explicit soak(const soak_options& options)
        : options_(options)
        , system_(
              directory_.path, options.instances,
              options.schedulers ? "scheduler" : "here")
        , random_(options.seed)
        , clients_(owner_, entries(), options.seed)
        , timer_(owner_)
        , poll_timer_(owner_) {}

    soak_result run() {
        if (!all_serve(start_time)) {
            result_.broken.emplace_back("the system did not start");
            return result_;
        }
        began_ = owner_.now();
        clients_.start(options_.callers, caller_pause);
        plan_fault();
        const auto until = began_ + options_.length;
        run_until([&] { return owner_.now() >= until; }, options_.length * 2);
        timer_.stop();
        end_faults();
        if (!all_serve(recovery_time))
            result_.broken.emplace_back(
                "not everything was served again in time");
        clients_.stop();
        run_until([&] { return clients_.open() == 0; }, recovery_time);
        judge();
        return result_;
    }

private:
    std::vector<base::address> entries() const {
        std::vector<base::address> result;
        for (std::size_t i = 0; i < options_.instances; ++i)
            result.push_back(system_.entry(i));
        return result;
    }

    int draw(int low, int high) {
        return std::uniform_int_distribution<int>(low, high)(random_);
    }

    std::size_t pick(std::size_t bound) {
        return static_cast<std::size_t>(draw(0, static_cast<int>(bound) - 1));
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

    void note(const std::string& what) {
        const auto at = std::chrono::duration_cast<base::milliseconds>(
            owner_.now() - began_);
        result_.faults.push_back(fmt::format("{:5} ms {}", at.count(), what));
    }

    void plan_fault() {
        timer_.start(base::milliseconds(draw(least_gap, most_gap)), [this] {
            if (options_.planned_only)
                planned_work();
            else
                fault();
            plan_fault();
        });
    }

    void planned_work() {
        if (stopping_.empty() && draw(0, 1) == 0) {
            stop_instance(pick(options_.instances));
            return;
        }
        if (draw(0, 1) == 0) {
            note("new configuration");
            system_.change_configuration();
            return;
        }
        const std::size_t index = pick(options_.instances);
        if (stopping_.contains(index))
            return;
        note(fmt::format("SIGHUP instance {}", index));
        system_.instances()[index].running->signal(SIGHUP);
    }

    void fault() {
        switch (draw(0, 6)) {
        case 0:
            kill_server(pick(system_.servers().size()));
            break;
        case 1:
            pause(system_.servers()[pick(system_.servers().size())], "server");
            break;
        case 2:
            pause(system_.instances()[pick(options_.instances)], "instance");
            break;
        case 3:
            kill_instance(pick(options_.instances));
            break;
        case 4:
            pause(system_.store(), "store");
            break;
        default:
            planned_work();
        }
    }

    void kill_server(std::size_t index) {
        note(fmt::format("kill server {}", index));
        system_.servers()[index].running->signal(SIGKILL);
        later(draw(50, 800), [this, index] {
            resume(system_.servers()[index]);
            system_.restart_server(index);
        });
    }

    void kill_instance(std::size_t index) {
        if (stopping_.contains(index))
            return;
        note(fmt::format("kill instance {}", index));
        system_.instances()[index].running->signal(SIGKILL);
        stopping_.insert(index);
        later(draw(50, 800), [this, index] { start_instance(index); });
    }

    void stop_instance(std::size_t index) {
        if (stopping_.contains(index))
            return;
        note(fmt::format("SIGTERM instance {}", index));
        stopping_.insert(index);
        resume(system_.instances()[index]);
        system_.instances()[index].running->signal(SIGTERM);
        wait_for_end(index);
    }

    void wait_for_end(std::size_t index) {
        later(50, [this, index] {
            if (system_.instances()[index].running->running())
                wait_for_end(index);
            else
                start_instance(index);
        });
    }

    void start_instance(std::size_t index) {
        note(fmt::format("start instance {}", index));
        system_.restart_instance(index);
        stopping_.erase(index);
    }

    void pause(soak_process& process, const std::string& name) {
        if (process.paused)
            return;
        const int time = draw(100, longest_pause);
        note(fmt::format("pause a {} for {} ms", name, time));
        process.paused = true;
        process.running->signal(SIGSTOP);
        later(time, [this, &process] { resume(process); });
    }

    void resume(soak_process& process) {
        if (!process.paused)
            return;
        process.paused = false;
        process.running->signal(SIGCONT);
    }

    void later(int milliseconds, std::function<void()> action) {
        timers_.push_back(std::make_unique<event::timer>(owner_));
        timers_.back()->start(
            base::milliseconds(milliseconds), std::move(action));
    }

    void end_faults() {
        note("end of the faults");
        resume(system_.store());
        for (soak_process& server : system_.servers())
            resume(server);
        for (soak_process& instance : system_.instances())
            resume(instance);
    }

    void judge() {
        result_.requests = clients_.records().size();
        for (const caller_record& record : clients_.records()) {
            result_.answered += record.status == 200 && record.whole ? 1 : 0;
            result_.refused += record.status == 503 ? 1 : 0;
        }
        const auto broken = broken_promises(clients_.records(), system_.runs());
        result_.broken.insert(
            result_.broken.end(), broken.begin(), broken.end());
        if (options_.planned_only)
            judge_planned_work();
    }

    /// Planned work cuts no request off.
    void judge_planned_work() {
        const run_counts runs = system_.runs();
        for (const caller_record& record : clients_.records()) {
            const bool cut = record.status == 200 && !record.whole;
            const bool lost = record.unanswered && runs.contains(record.id);
            if (cut || lost)
                result_.broken.push_back(
                    fmt::format("{} was cut off by planned work", record.id));
        }
    }

    soak_options options_;
    scratch_directory directory_;
    soak_system system_;
    event::loop owner_;
    std::mt19937_64 random_;
    soak_clients clients_;
    event::timer timer_;
    event::timer poll_timer_;
    std::vector<std::unique_ptr<event::timer>> timers_;
    std::set<std::size_t> stopping_;
    base::steady_time began_{};
    soak_result result_;
};

} // namespace

soak_result run_soak(const soak_options& options) {
    soak running(options);
    return running.run();
}

} // namespace mintknot::soak
