#include "order_batch.hpp"

#include <mintknot/relay/server_notices.hpp>

#include <utility>

namespace mintknot::orders {

namespace {

/// For a report or an order. Within the second for which a lease may be used.
constexpr base::milliseconds call_time{700};
const upstream::call_options answer_bounds{.answer_body_bytes = 64 * 1024};
constexpr int status_ok = 200;
constexpr int status_accepted = 202;
constexpr int status_fenced_off = 412;

} // namespace

/// The calls to one engine.
struct order_batch::engine_order {
    engine_order(event::loop& owner, policy::phase_change wanted)
        : change(std::move(wanted))
        , limit(owner) {}
    policy::phase_change change;
    event::timer limit;
    std::unique_ptr<upstream::call> call;
    int status = 0;
    std::string body;
};

order_batch::order_batch(
    relay::router_context& router, batch_terms terms, batch_handlers handlers)
    : router_(router)
    , terms_(std::move(terms))
    , handlers_(std::move(handlers)) {}

order_batch::~order_batch() = default;

void order_batch::begin(const std::vector<policy::phase_change>& changes) {
    open_ = changes.size();
    for (const policy::phase_change& change : changes)
        orders_.push_back(std::make_unique<engine_order>(router_.loop, change));
    for (const auto& order : orders_)
        ask_report(*order);
}

void order_batch::ask_report(engine_order& order) {
    call(
        order, {router_.protocol.report_request(order.change.server_id), {}},
        [this, &order] { on_report(order); });
}

void order_batch::on_report(engine_order& order) {
    const auto report = order.status == status_ok
                            ? router_.protocol.read_report(order.body)
                            : std::nullopt;
    if (report && report->leaving)
        relay::apply_server_notice(
            router_, order.change.server_id, {true, std::nullopt});
    if (!report || report->leaving || report->busy ||
        report->phase == order.change.to || !terms_.may_order())
        end(order);
    else
        send(order, report->orders_taken);
}

void order_batch::send(engine_order& order, std::int64_t orders_taken) {
    handlers_.on_order(order.change);
    const relay::phase_order wanted{
        order.change.to, terms_.holder, terms_.fence, orders_taken};
    call(
        order, router_.protocol.order_call(wanted, order.change.server_id),
        [this, &order] { on_ordered(order); });
}

void order_batch::on_ordered(engine_order& order) {
    router_.log.write(
        "order", {{"service", terms_.service},
                  {"server", order.change.server_id},
                  {"phase", traffic::to_string(order.change.to)},
                  {"fence", static_cast<std::int64_t>(terms_.fence)},
                  {"status", std::int64_t{order.status}},
                  {"says", order.body}});
    result_.fenced_off |= order.status == status_fenced_off;
    result_.refused |=
        order.status != status_ok && order.status != status_accepted;
    end(order);
}

void order_batch::end(engine_order& order) {
    order.limit.stop();
    order.call.reset();
    if (--open_ == 0)
        handlers_.on_end(result_);
}

void order_batch::call(
    engine_order& order, relay::own_call request, std::function<void()> then) {
    const traffic::server* engine =
        traffic::find(router_.state.servers, order.change.server_id);
    if (engine == nullptr || !relay::may_send_to(router_, *engine)) {
        end(order);
        return;
    }
    order.status = 0;
    order.body.clear();
    const auto finish = [&order, then = std::move(then)] {
        // What this function holds may go with the call.
        engine_order& ended = order;
        const std::function<void()> next = then;
        ended.limit.stop();
        ended.call.reset();
        next();
    };
    order.limit.start(call_time, finish);
    order.call = upstream::call::start(
        router_.pool, {engine->id, engine->where, {}, true},
        {std::move(request.head),
         std::make_shared<const std::string>(std::move(request.body))},
        answer_bounds,
        {[this](const http1::response_head& head) {
             return relay::answers_own_call(router_.protocol, head);
         },
         [&order](http1::response_head& head) { order.status = head.status; },
         [&order](std::string_view piece) { order.body.append(piece); }, finish,
         [&order, finish](upstream::call_failure) {
             order.status = 0;
             finish();
         }});
}

} // namespace mintknot::orders
