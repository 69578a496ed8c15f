/// @file
/// How an exchange ends: with an answer of the router, of a server, or none.

#include <mintknot/relay/exchange.hpp>

namespace mintknot::relay {

namespace {

constexpr int status_unavailable = 503;

int status_of(base::verdict verdict, bool out_of_time) {
    if (verdict == base::verdict::not_run)
        return status_unavailable;
    return out_of_time ? 504 : 502;
}

} // namespace

void exchange::give_up(std::string_view reason) {
    give_up(reason, policy::default_retry_after);
}

void exchange::give_up(
    std::string_view reason, base::milliseconds retry_after) {
    if (finished_)
        return;
    const bool out_of_time = time_left() <= base::milliseconds{0};
    const int status = status_of(verdict_, out_of_time);
    std::optional<base::milliseconds> retry_after_field;
    if (verdict_ == base::verdict::not_run)
        retry_after_field = retry_after;
    send_router_answer(status, reason, retry_after_field);
}

void exchange::refuse(
    int status, std::string_view reason,
    std::optional<base::milliseconds> retry_after) {
    if (finished_)
        return;
    cancel_calls();
    send_router_answer(status, reason, retry_after);
}

void exchange::refuse_for_capacity(const wanted_capacity& wanted) {
    const auto limited = limited_retry_after(context_, service_.name);
    const base::milliseconds planned =
        limited ? *limited
                : policy::schedule_retry_after(
                      context_.state.retry_after_schedules[service_.name],
                      {wanted.forecast, wanted.expected_wait, wanted.cost,
                       context_.state.instances},
                      context_.loop.now());
    give_up("no_capacity", usable_retry_after(planned));
}

base::milliseconds
exchange::usable_retry_after(base::milliseconds retry_after) const {
    if (!context_.state.capacity_sharing)
        return retry_after;
    const base::milliseconds left = caller_deadline() - since_arrival();
    return policy::bounded_retry_after(retry_after, left);
}

void exchange::send_router_answer(
    int status, std::string_view reason,
    std::optional<base::milliseconds> retry_after) {
    http1::response_head head;
    head.status = status;
    head.fields = context_.protocol.own_answer(request_.terms.id, retry_after);
    record_first_byte();
    log_with_state(
        "given_up",
        {{"request", request_.terms.id},
         {"route", route_.name},
         {"reason", reason},
         {"status", std::int64_t{status}},
         {"come_back_ms", retry_after.value_or(base::milliseconds{0}).count()},
         {"organisation", organisation_name()},
         {"verdict", base::to_string(verdict_)},
         {"sends", std::int64_t{sends_}}});
    finish(reason);
    sink_.send_complete(std::move(head), std::string(reason) + "\n");
}

bool exchange::hold(std::size_t bytes) {
    policy::held_answers& all = context_.state.held_answers;
    all.bytes -= held_bytes_;
    all.answers -= held_bytes_ > 0 ? 1 : 0;
    const bool allowed =
        policy::may_hold(bytes, all, context_.options.max_held_bytes);
    held_bytes_ = bytes;
    all.bytes += bytes;
    all.answers += bytes > 0 ? 1 : 0;
    return allowed;
}

void exchange::deliver_answer(http1::response_head head, std::string body) {
    if (finished_)
        return;
    record_first_byte();
    http1::erase_hop_fields(head.fields);
    finish(head.status < 400 ? "answered" : "server_failure");
    sink_.send_complete(std::move(head), std::move(body));
}

void exchange::end_answer(std::string_view outcome) {
    if (finished_)
        return;
    finish(outcome);
    sink_.end();
}

void exchange::abort_answer(std::string_view reason) {
    if (finished_)
        return;
    log_with_state(
        "broken_off", {{"request", request_.terms.id},
                       {"route", route_.name},
                       {"reason", reason},
                       {"sends", std::int64_t{sends_}}});
    finish(reason);
    sink_.abort();
}

void exchange::end_with_action(policy::action what, std::string_view reason) {
    if (what == policy::action::break_off)
        abort_answer(reason);
    else
        give_up(reason);
}

} // namespace mintknot::relay
