#include <mintknot/orders/phase_balancer.hpp>

#include "order_batch.hpp"

#include <algorithm>
#include <utility>
#include <vector>

namespace mintknot::orders {

namespace {

/// Pause after the store or an engine has refused something.
constexpr base::milliseconds refused_pause{4000};

} // namespace

struct phase_balancer::impl {
    /// An order whose effect the engine's row does not show yet.
    struct pending_change {
        traffic::engine_phase to = traffic::engine_phase::none;
        base::steady_time until{}; ///< Then it is taken for lost.
    };

    /// What is under way for one service.
    struct work {
        explicit work(event::loop& owner)
            : notice_timer(owner) {}
        bool busy = false;
        policy::lease_view view;
        policy::held_lease lease;
        base::steady_time not_before{};
        /// Engines that have been ordered to change.
        std::map<std::string, pending_change> changing;
        event::timer notice_timer;
        std::unique_ptr<order_batch> orders;
    };

    impl(
        relay::router_context& shared, state::store& rows,
        balancer_options settings, std::function<bool()> decide)
        : context(shared)
        , store(rows)
        , options(std::move(settings))
        , responsible(std::move(decide))
        , timer(shared.loop) {}

    base::steady_time now() const { return context.loop.now(); }

    void tick() {
        timer.start(options.period, [this] { tick(); });
        if (context.state.config == nullptr || context.state.stopping ||
            !responsible())
            return;
        for (const auto& [name, service] : context.state.config->services)
            if (service.engine)
                look_after(name);
    }

    work& work_for(const std::string& service) {
        auto& entry = works[service];
        if (entry == nullptr)
            entry = std::make_unique<work>(context.loop);
        return *entry;
    }

    void look_after(const std::string& service) {
        work& at = work_for(service);
        if (at.busy || now() < at.not_before)
            return;
        const auto changes = plan(service, at);
        if (changes.empty())
            return;
        at.busy = true;
        if (policy::may_take(at.view, options.holder, options.terms, now()))
            take_lease(service, changes);
        else
            read_lease(service);
    }

    std::vector<policy::phase_change>
    plan(const std::string& service, work& at) {
        forget_changed(at);
        const auto& open =
            traffic::open_servers(context.state.servers, service);
        const policy::phase_demand demand =
            relay::group_demand(context.state, service, now());
        if (policy::is_nearly_idle(
                open.size(), demand, estimated_rate(service)))
            return {};
        traffic::expire(context.state.loads, now());
        std::vector<policy::planned_engine> engines;
        for (const traffic::server* engine : open) {
            const auto changing = at.changing.find(engine->id);
            if (changing != at.changing.end())
                engines.push_back({engine, changing->second.to, true});
            else
                engines.push_back(
                    {engine, engine->phase,
                     policy::avoided_for(
                         context.state.health, engine->id, now()) >
                         base::milliseconds{0}});
        }
        return policy::plan_phase_changes(
            engines, demand, [this](const traffic::server& engine) {
                const traffic::server_load load =
                    traffic::total(context.state.loads, engine.id);
                return load.prefill_tokens + load.memory_tokens;
            });
    }

    double estimated_rate(const std::string& service) const {
        const auto own = context.state.demands.find(service);
        const double seen = own == context.state.demands.end()
                                ? 0.0
                                : own->second.local_requests;
        return policy::estimated_request_rate(
            seen,
            std::chrono::duration_cast<base::milliseconds>(
                now() - context.state.started),
            context.state.instances);
    }

    void forget_changed(work& at) {
        std::erase_if(at.changing, [this](const auto& item) {
            const traffic::server* engine =
                traffic::find(context.state.servers, item.first);
            return now() > item.second.until || engine == nullptr ||
                   engine->phase == item.second.to;
        });
    }

    void rest(work& at, base::milliseconds pause) {
        at.busy = false;
        at.not_before = now() + pause;
    }

    void read_lease(const std::string& service) {
        store.read(
            state::collection::leases,
            [this, service](const state::store_answer& answer) {
                work& at = work_for(service);
                if (answer.result != state::store_result::ok) {
                    rest(at, refused_pause);
                    return;
                }
                std::uint64_t version = 0;
                std::string holder;
                for (const state::document& row : answer.documents)
                    if (row.key == service && row.text) {
                        version = row.version;
                        holder = *row.text;
                    }
                policy::observe(at.view, version, holder, now());
                rest(
                    at, policy::may_take(
                            at.view, options.holder, options.terms, now())
                            ? base::milliseconds{0}
                            : options.pause);
            });
    }

    void take_lease(
        const std::string& service,
        const std::vector<policy::phase_change>& changes) {
        const base::steady_time asked = now();
        store.write(
            state::collection::leases, service, work_for(service).view.version,
            options.holder,
            [this, service, changes, asked](const state::write_answer& answer) {
                on_taken(service, changes, asked, answer);
            });
    }

    void on_taken(
        const std::string& service,
        const std::vector<policy::phase_change>& changes,
        base::steady_time asked, const state::write_answer& answer) {
        work& at = work_for(service);
        context.log.write(
            "lease", {{"service", service},
                      {"outcome", state::to_string(answer.result)},
                      {"fence", static_cast<std::int64_t>(answer.version)}});
        if (answer.result != state::store_result::ok) {
            // Taken by another, or perhaps by a call whose answer was lost.
            at.view.read = false;
            rest(at, refused_pause);
            return;
        }
        policy::observe(at.view, answer.version, options.holder, now());
        at.lease = {answer.version, asked};
        announce(changes);
        at.notice_timer.start(options.notice, [this, service, changes] {
            begin_orders(service, changes);
        });
    }

    /// Keeps everybody away from engines that are about to change.
    void announce(const std::vector<policy::phase_change>& changes) {
        for (const policy::phase_change& change : changes)
            policy::note_phase_change(
                context.state.health, change.server_id,
                now() + options.change_time);
        if (context.state.on_phase_order)
            context.state.on_phase_order();
    }

    void begin_orders(
        const std::string& service,
        const std::vector<policy::phase_change>& changes) {
        work& at = work_for(service);
        at.orders = std::make_unique<order_batch>(
            context,
            batch_terms{
                service, options.holder, at.lease.fence,
                [this, &at] {
                    return policy::may_order(at.lease, options.terms, now());
                }},
            batch_handlers{
                [this, &at](const policy::phase_change& change) {
                    at.changing[change.server_id] = {
                        change.to, now() + options.change_time};
                },
                [this, &at](const batch_result& result) {
                    if (result.fenced_off)
                        at.view.read = false;
                    rest(at, result.refused ? refused_pause : options.pause);
                }});
        at.orders->begin(changes);
    }

    relay::router_context& context;
    state::store& store;
    balancer_options options;
    std::function<bool()> responsible;
    event::timer timer;
    std::map<std::string, std::unique_ptr<work>> works;
};

phase_balancer::phase_balancer(
    relay::router_context& context, state::store& store,
    balancer_options options, std::function<bool()> responsible)
    : impl_(std::make_unique<impl>(
          context, store, std::move(options), std::move(responsible))) {}

phase_balancer::~phase_balancer() = default;

void phase_balancer::start() {
    impl_->tick();
}

void phase_balancer::stop() {
    impl_->timer.stop();
}

} // namespace mintknot::orders
