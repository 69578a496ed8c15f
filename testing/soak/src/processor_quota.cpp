#include "processor_quota.hpp"

#include <algorithm>
#include <csignal>
#include <ctime>

namespace mintknot::soak {

namespace {

using std::chrono::nanoseconds;

constexpr base::milliseconds look_interval{1};
/// Unused processor time is kept for so long.
constexpr base::milliseconds period{100};

/// @return the processor time that a process has used; zero if it has ended.
nanoseconds processor_time(pid_t process) {
    clockid_t clock{};
    timespec time{};
    if (::clock_getcpuclockid(process, &clock) != 0 ||
        ::clock_gettime(clock, &time) != 0)
        return nanoseconds{0};
    return std::chrono::seconds(time.tv_sec) + nanoseconds(time.tv_nsec);
}

} // namespace

processor_quota::processor_quota(
    event::loop& owner, soak_system& system, double share)
    : owner_(owner)
    , system_(system)
    , share_(share)
    , timer_(owner) {}

void processor_quota::start() {
    if (share_ <= 0.0)
        return;
    looked_ = owner_.now();
    look();
}

void processor_quota::stop() {
    timer_.stop();
    for (auto& [instance, known] : accounts_) {
        if (known.stopped)
            system_.instances()[instance].running->signal(SIGCONT);
        known.stopped = false;
    }
}

void processor_quota::look() {
    const base::steady_time now = owner_.now();
    const auto earned = std::chrono::duration_cast<nanoseconds>(
        std::chrono::duration<double, std::nano>(now - looked_) * share_);
    looked_ = now;
    for (std::size_t i = 0; i < system_.instances().size(); ++i)
        look_at(i, earned);
    timer_.start(look_interval, [this] { look(); });
}

void processor_quota::look_at(std::size_t instance, nanoseconds earned) {
    const harness::child_process& running =
        *system_.instances()[instance].running;
    account& known = accounts_[instance];
    const nanoseconds used = processor_time(running.pid());
    if (known.process != running.pid())
        known = {running.pid(), used};
    const auto most = std::chrono::duration_cast<nanoseconds>(
        std::chrono::duration<double, std::nano>(period) * share_);
    known.credit = std::min(known.credit + earned - (used - known.used), most);
    known.used = used;
    const bool stop = known.credit <= nanoseconds{0};
    if (stop == known.stopped)
        return;
    known.stopped = stop;
    running.signal(stop ? SIGSTOP : SIGCONT);
}

} // namespace mintknot::soak
