#include <mintknot/relay/loop_monitor.hpp>

#include <algorithm>
#include <optional>

namespace mintknot::relay {

namespace {

/// Samples are taken for so long after the last connection or request.
constexpr base::milliseconds active_time{50};
/// A standing delay is logged from the one on and until it is below the other.
constexpr base::milliseconds late_bound{30};
constexpr base::milliseconds in_time_bound{10};

} // namespace

struct loop_monitor::impl {
    impl(
        event::loop& owner_loop, logging::line_log& line_log,
        relay_metrics& relay_metrics)
        : owner(owner_loop)
        , log(line_log)
        , metrics(relay_metrics)
        , timer(owner_loop) {}

    void sample_later() {
        due = owner.now() + policy::delay_sample_interval;
        timer.start(due, [this] { sample(); });
    }

    void sample() {
        const base::steady_time now = owner.now();
        const auto late =
            std::chrono::duration_cast<base::microseconds>(now - due);
        metrics.observe_loop_delay(late);
        policy::note_sample(delay, {now, late});
        log_changes(now);
        if (late_since || now - last_activity <= active_time)
            sample_later();
        else
            delay = {};
    }

    void log_changes(base::steady_time now) {
        if (late_since) {
            longest = std::max(longest, delay.standing);
            if (delay.standing >= in_time_bound)
                return;
            const auto time = std::chrono::duration_cast<base::milliseconds>(
                now - *late_since);
            log.write(
                "loop_in_time",
                {{"late_for_ms", time.count()},
                 {"longest_ms", to_milliseconds(longest).count()}});
            late_since.reset();
        } else if (delay.standing >= late_bound) {
            late_since = now;
            longest = delay.standing;
            log.write(
                "loop_late",
                {{"delay_ms", to_milliseconds(delay.standing).count()}});
        }
    }

    static base::milliseconds to_milliseconds(base::microseconds time) {
        return std::chrono::duration_cast<base::milliseconds>(time);
    }

    event::loop& owner;
    logging::line_log& log;
    relay_metrics& metrics;
    event::timer timer;
    base::steady_time due{};
    base::steady_time last_activity{};
    policy::loop_delay delay;
    std::optional<base::steady_time> late_since;
    base::microseconds longest{0}; ///< Standing delay since `late_since`.
};

loop_monitor::loop_monitor(
    event::loop& owner, logging::line_log& log, relay_metrics& metrics)
    : impl_(std::make_unique<impl>(owner, log, metrics)) {}

loop_monitor::~loop_monitor() = default;

void loop_monitor::note_activity() {
    impl_->last_activity = impl_->owner.now();
    if (!impl_->timer.active())
        impl_->sample_later();
}

base::microseconds loop_monitor::standing_delay() const noexcept {
    return impl_->delay.standing;
}

} // namespace mintknot::relay
