#include <mintknot/relay/delay_monitor.hpp>

#include <mintknot/policy/standing_delay.hpp>

#include <algorithm>
#include <optional>

namespace mintknot::relay {

namespace {

/// Samples are taken for so long after the last connection or request.
constexpr base::milliseconds active_time{50};
/// A standing delay is logged from the one on and until it is below the other.
constexpr base::milliseconds late_bound{30};
constexpr base::milliseconds in_time_bound{10};

base::milliseconds to_milliseconds(base::microseconds time) {
    return std::chrono::duration_cast<base::milliseconds>(time);
}

} // namespace

struct delay_monitor::impl {
    impl(
        event::loop& owner_loop, logging::line_log& line_log,
        relay_metrics& relay_metrics)
        : owner(owner_loop)
        , log(line_log)
        , metrics(relay_metrics)
        , timer(owner_loop) {}

    void sample_later() {
        due = owner.now() + policy::shedding_interval;
        timer.start(due, [this] { sample(); });
    }

    void sample() {
        const base::steady_time now = owner.now();
        const auto late =
            std::chrono::duration_cast<base::microseconds>(now - due);
        metrics.observe_loop_delay(late);
        policy::note_sample(loop, {now, late}, policy::loop_window);
        const policy::instance_delays known = delays();
        log_changes(known.loop.value_or(base::microseconds{0}));
        const bool wanted = observer && observer(known);
        if (wanted || late_since || now - last_activity <= active_time)
            sample_later();
        else
            loop = {};
    }

    policy::instance_delays delays() const {
        const base::steady_time now = owner.now();
        return {
            policy::standing_delay(loop, policy::loop_window, now),
            policy::standing_delay(connects, policy::connect_window, now)};
    }

    void log_changes(base::microseconds delay) {
        if (late_since)
            longest = std::max(longest, delay);
        if (!late_since && delay >= late_bound)
            log_late(delay);
        else if (late_since && delay < in_time_bound)
            log_in_time();
    }

    void log_late(base::microseconds delay) {
        late_since = owner.now();
        longest = delay;
        log.write("loop_late", {{"delay_ms", to_milliseconds(delay).count()}});
    }

    void log_in_time() {
        const auto time = std::chrono::duration_cast<base::milliseconds>(
            owner.now() - *late_since);
        late_since.reset();
        log.write(
            "loop_in_time", {{"late_for_ms", time.count()},
                             {"longest_ms", to_milliseconds(longest).count()}});
    }

    event::loop& owner;
    logging::line_log& log;
    relay_metrics& metrics;
    event::timer timer;
    base::steady_time due{};
    base::steady_time last_activity{};
    policy::delay_samples loop;
    policy::delay_samples connects;
    std::function<bool(const policy::instance_delays&)> observer;
    std::optional<base::steady_time> late_since;
    base::microseconds longest{0}; ///< Standing delay since `late_since`.
};

delay_monitor::delay_monitor(
    event::loop& owner, logging::line_log& log, relay_metrics& metrics)
    : impl_(std::make_unique<impl>(owner, log, metrics)) {}

delay_monitor::~delay_monitor() = default;

void delay_monitor::note_activity() {
    impl_->last_activity = impl_->owner.now();
    if (!impl_->timer.active())
        impl_->sample_later();
}

void delay_monitor::note_connect(base::microseconds time) {
    policy::note_sample(
        impl_->connects, {impl_->owner.now(), time}, policy::connect_window);
}

void delay_monitor::observe(
    std::function<bool(const policy::instance_delays& delays)> observer) {
    impl_->observer = std::move(observer);
}

policy::instance_delays delay_monitor::delays() const {
    return impl_->delays();
}

} // namespace mintknot::relay
