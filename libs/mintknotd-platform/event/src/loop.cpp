#include "loop_impl.hpp"

#include <boost/asio/basic_waitable_timer.hpp>
#include <boost/asio/post.hpp>

namespace mintknot::event {

namespace {

/// See loop::recent_delay().
constexpr base::milliseconds recent_time{1000};
/// A timer that fires later than this waits for what has come meanwhile.
constexpr base::milliseconds late_bound{20};

void wait_for_signal(
    boost::asio::signal_set& signals,
    const std::shared_ptr<std::function<void(int)>>& handler) {
    signals.async_wait(
        [&signals, handler](const boost::system::error_code& code, int number) {
            if (code)
                return;
            (*handler)(number);
            wait_for_signal(signals, handler);
        });
}

} // namespace

loop::loop()
    : impl_(std::make_unique<impl>()) {}

loop::~loop() = default;

void loop::run() {
    const auto work = boost::asio::make_work_guard(impl_->context);
    impl_->context.restart();
    impl_->context.run();
}

void loop::stop() {
    impl_->context.stop();
}

void loop::post(std::function<void()> handler) {
    boost::asio::post(impl_->context, std::move(handler));
}

base::steady_time loop::now() const {
    return base::steady_clock::now();
}

void loop::on_signals(
    const std::vector<int>& numbers, std::function<void(int)> handler) {
    for (int number : numbers)
        impl_->signals.add(number);
    wait_for_signal(
        impl_->signals,
        std::make_shared<std::function<void(int)>>(std::move(handler)));
}

void loop::on_delay(
    base::milliseconds bound,
    std::function<void(base::milliseconds delay)> handler) {
    impl_->delay_bound = bound;
    impl_->on_delay = std::move(handler);
}

base::milliseconds loop::recent_delay() const {
    return impl_->recent_delay(now());
}

base::milliseconds loop::impl::recent_delay(base::steady_time now) const {
    const bool recent = now - longest_delay_seen <= recent_time;
    return recent ? longest_delay : base::milliseconds{0};
}

void loop::impl::note_delay(base::milliseconds delay, base::steady_time now) {
    if (delay < recent_delay(now))
        return;
    longest_delay = delay;
    longest_delay_seen = now;
}

base::milliseconds loop::impl::note_fired(base::steady_time due) {
    const base::steady_time now = base::steady_clock::now();
    const auto delay =
        std::chrono::duration_cast<base::milliseconds>(now - due);
    note_delay(delay, now);
    if (on_delay && due > delay_told && delay > delay_bound) {
        delay_told = now;
        on_delay(delay);
    }
    return delay;
}

struct timer::impl {
    explicit impl(loop& owner)
        : owning_loop(owner.native())
        , native(owner.native().context) {}
    loop::impl& owning_loop;
    boost::asio::basic_waitable_timer<base::steady_clock> native;
    std::uint64_t generation = 0;
    bool active = false;
};

timer::timer(loop& owner)
    : impl_(std::make_shared<impl>(owner)) {}

timer::~timer() {
    stop();
}

void timer::start(base::steady_time when, std::function<void()> handler) {
    const std::uint64_t generation = ++impl_->generation;
    impl_->active = true;
    impl_->native.expires_at(when);
    impl_->native.async_wait(
        [state = impl_, generation, when,
         handler = std::move(handler)](const boost::system::error_code& code) {
            if (code || state->generation != generation)
                return;
            if (state->owning_loop.note_fired(when) <= late_bound) {
                state->active = false;
                handler();
                return;
            }
            state->owning_loop.late.add([state, generation, handler] {
                if (state->generation != generation)
                    return;
                state->active = false;
                handler();
            });
        });
}

void timer::start(base::milliseconds delay, std::function<void()> handler) {
    start(base::steady_clock::now() + delay, std::move(handler));
}

void timer::stop() {
    ++impl_->generation;
    impl_->active = false;
    impl_->native.cancel();
}

bool timer::active() const noexcept {
    return impl_->active;
}

} // namespace mintknot::event
