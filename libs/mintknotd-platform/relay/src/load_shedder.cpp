#include <mintknot/relay/load_shedder.hpp>

namespace mintknot::relay {

namespace {

/// An instance that was overloaded counts as such for so long.
constexpr base::milliseconds overload_memory{1000};

std::int64_t in_milliseconds(std::optional<base::microseconds> delay) {
    return std::chrono::duration_cast<base::milliseconds>(
               delay.value_or(base::microseconds{0}))
        .count();
}

} // namespace

struct load_shedder::impl {
    impl(
        router_context& shared, entry_server& server, shedder_callbacks outside)
        : context(shared)
        , entry(server)
        , callbacks(std::move(outside)) {}

    /// @return true while delays are needed again.
    bool on_delays(const policy::instance_delays& delays) {
        policy::update(state, delays);
        const base::steady_time now = context.loop.now();
        if (policy::is_overloaded(state))
            last_overload = now;
        const bool overloaded_now =
            last_overload && now - *last_overload < overload_memory;
        if (overloaded_now && !overloaded)
            begin(delays);
        else if (!overloaded_now && overloaded)
            end();
        update_share();
        refuse(policy::refuse_next_interval(state, share));
        return overloaded || share > 0.0 || refusing;
    }

    void update_share() {
        share = policy::own_share(state) > 0.0
                    ? policy::shed_share(state, callbacks.neighbours())
                    : 0.0;
    }

    void refuse(bool refuse_now) {
        if (refuse_now == refusing || stopped)
            return;
        if (refuse_now) {
            entry.stop_accepting();
            refusing = true;
            return;
        }
        const absl::Status opened = entry.resume_accepting();
        refusing = !opened.ok();
        if (refusing)
            context.log.write(
                "not_accepting", {{"reason", std::string(opened.message())}});
    }

    void begin(const policy::instance_delays& delays) {
        overloaded = true;
        began = context.loop.now();
        const policy::peer_load neighbours = callbacks.neighbours();
        context.log.write(
            "shedding",
            {{"loop_delay_ms", in_milliseconds(delays.loop)},
             {"connect_delay_ms", in_milliseconds(delays.connect)},
             {"open", static_cast<std::int64_t>(context.state.open_requests)},
             {"peers", static_cast<std::int64_t>(neighbours.peers)},
             {"overloaded_peers",
              static_cast<std::int64_t>(neighbours.overloaded)}});
        callbacks.on_change(true);
    }

    void end() {
        overloaded = false;
        const auto time = std::chrono::duration_cast<base::milliseconds>(
            context.loop.now() - began);
        context.log.write(
            "shedding_ended",
            {{"after_ms", time.count()},
             {"open", static_cast<std::int64_t>(context.state.open_requests)}});
        callbacks.on_change(false);
    }

    router_context& context;
    entry_server& entry;
    shedder_callbacks callbacks;
    policy::shedding_state state;
    double share = 0.0; ///< Of new connections that are refused.
    bool refusing = false;
    bool stopped = false;
    bool overloaded = false;
    std::optional<base::steady_time> last_overload;
    base::steady_time began{}; ///< Valid if `overloaded`.
};

load_shedder::load_shedder(
    router_context& context, entry_server& entry, shedder_callbacks callbacks)
    : impl_(std::make_unique<impl>(context, entry, std::move(callbacks))) {
    context.monitor.observe(
        [state = impl_.get()](const policy::instance_delays& delays) {
            return state->on_delays(delays);
        });
}

load_shedder::~load_shedder() {
    impl_->context.monitor.observe({});
}

void load_shedder::stop() {
    impl_->stopped = true;
}

bool load_shedder::ends_connection() {
    return impl_->share > 0.0 && impl_->context.draw_uniform() < impl_->share;
}

bool load_shedder::overloaded() const noexcept {
    return impl_->overloaded;
}

double load_shedder::share() const noexcept {
    return impl_->share;
}

bool load_shedder::refusing() const noexcept {
    return impl_->refusing;
}

} // namespace mintknot::relay
