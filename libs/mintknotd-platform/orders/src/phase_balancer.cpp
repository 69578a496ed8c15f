#include <mintknot/orders/phase_balancer.hpp>

#include <algorithm>
#include <utility>
#include <vector>

namespace mintknot::orders {

namespace {

constexpr base::milliseconds order_time{700};
constexpr int status_ok = 200;
constexpr int status_accepted = 202;
constexpr int status_fenced_off = 412;
/// Pause after the store or an engine has refused something.
constexpr base::milliseconds refused_pause{4000};

} // namespace

struct phase_balancer::impl {
    /// An order whose effect the engine's row does not show yet.
    struct pending_change {
        traffic::engine_phase to = traffic::engine_phase::none;
        base::steady_time until{}; ///< Then it is taken for lost.
    };

    /// The calls to one engine that is to change.
    struct engine_order {
        engine_order(event::loop& owner, policy::phase_change wanted)
            : change(std::move(wanted))
            , limit(owner) {}
        policy::phase_change change;
        event::timer limit;
        std::unique_ptr<upstream::call> call;
        int status = 0;
        std::string body;
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
        /// Under one lease and one fence.
        std::vector<std::unique_ptr<engine_order>> orders;
        std::size_t open_orders = 0;
        base::milliseconds pause{0}; ///< After the last of them.
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
        traffic::expire(context.state.loads, now());
        std::vector<policy::planned_engine> engines;
        for (const traffic::server* engine :
             traffic::open_servers(context.state.servers, service)) {
            const auto changing = at.changing.find(engine->id);
            if (changing != at.changing.end())
                engines.push_back({engine, changing->second.to, true});
            else
                engines.push_back(
                    {engine, engine->phase,
                     policy::avoided(context.state.health, engine->id, now())});
        }
        return policy::plan_changes(
            engines, relay::group_demand(context.state, service, now()),
            [this](const traffic::server& engine) {
                const traffic::server_load load =
                    traffic::total(context.state.loads, engine.id);
                return load.prefill_tokens + load.memory_tokens;
            });
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
                policy::see(at.view, version, holder, now());
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
        policy::see(at.view, answer.version, options.holder, now());
        at.lease = {answer.version, asked};
        announce(changes);
        at.notice_timer.start(options.notice, [this, service, changes] {
            begin_orders(service, changes);
        });
    }

    /// Keeps everybody away from engines that are about to change.
    void announce(const std::vector<policy::phase_change>& changes) {
        for (const policy::phase_change& change : changes)
            policy::note_change(
                context.state.health, change.server_id,
                now() + options.change_time);
        if (context.state.on_order)
            context.state.on_order();
    }

    void begin_orders(
        const std::string& service,
        const std::vector<policy::phase_change>& changes) {
        work& at = work_for(service);
        at.orders.clear();
        at.open_orders = changes.size();
        at.pause = options.pause;
        for (const policy::phase_change& change : changes)
            at.orders.push_back(
                std::make_unique<engine_order>(context.loop, change));
        for (const auto& order : at.orders)
            ask_report(service, *order);
    }

    /// The last order that ends lets the service rest.
    void end_order(work& at, engine_order& order, base::milliseconds pause) {
        order.limit.stop();
        order.call.reset();
        at.pause = std::max(at.pause, pause);
        if (--at.open_orders == 0)
            rest(at, at.pause);
    }

    /// Sends a call to the engine; `then` is called once, also without answer.
    void call_engine(
        engine_order& order, const traffic::server& engine,
        relay::own_call request, const std::function<void()>& then) {
        order.status = 0;
        order.body.clear();
        order.limit.start(order_time, then);
        order.call = upstream::call::start(
            context.pool, {engine.id, engine.where},
            {std::move(request.head),
             std::make_shared<const std::string>(std::move(request.body))},
            {},
            {nullptr,
             [&order](http1::response_head& head) {
                 order.status = head.status;
             },
             [&order](std::string_view piece) { order.body.append(piece); },
             then,
             [&order, then](upstream::call_failure) {
                 order.status = 0;
                 then();
             }});
    }

    void ask_report(const std::string& service, engine_order& order) {
        const traffic::server* engine =
            traffic::find(context.state.servers, order.change.server_id);
        if (engine == nullptr) {
            end_order(work_for(service), order, options.pause);
            return;
        }
        call_engine(
            order, *engine, {context.protocol.report(engine->id), {}},
            [this, service, &order] { on_report(service, order); });
    }

    void on_report(const std::string& service, engine_order& order) {
        order.limit.stop();
        order.call.reset();
        const auto report = order.status == status_ok
                                ? context.protocol.read_report(order.body)
                                : std::nullopt;
        if (!report || report->busy || report->phase == order.change.to) {
            end_order(work_for(service), order, options.pause);
            return;
        }
        send_order(service, order, report->orders_taken);
    }

    void send_order(
        const std::string& service, engine_order& order,
        std::int64_t orders_taken) {
        work& at = work_for(service);
        const policy::phase_change& change = order.change;
        const traffic::server* engine =
            traffic::find(context.state.servers, change.server_id);
        if (engine == nullptr || engine->draining ||
            !policy::may_order(at.lease, options.terms, now())) {
            end_order(at, order, options.pause);
            return;
        }
        at.changing[change.server_id] = {
            change.to, now() + options.change_time};
        const relay::phase_order wanted{
            change.to, options.holder, at.lease.fence, orders_taken};
        call_engine(
            order, *engine, context.protocol.order(wanted, engine->id),
            [this, service, &order] { on_ordered(service, order); });
    }

    void on_ordered(const std::string& service, engine_order& order) {
        work& at = work_for(service);
        context.log.write(
            "order", {{"service", service},
                      {"server", order.change.server_id},
                      {"phase", traffic::to_string(order.change.to)},
                      {"fence", static_cast<std::int64_t>(at.lease.fence)},
                      {"status", std::int64_t{order.status}},
                      {"says", order.body}});
        if (order.status == status_fenced_off)
            at.view.read = false;
        const bool taken =
            order.status == status_ok || order.status == status_accepted;
        end_order(at, order, taken ? options.pause : refused_pause);
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
