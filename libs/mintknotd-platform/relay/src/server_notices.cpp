#include <mintknot/relay/server_notices.hpp>

namespace mintknot::relay {

namespace {

void apply_limit(
    router_context& context, const std::string& server_id,
    const server_notice& notice) {
    if (notice.malformed_limit &&
        context.state.malformed_limits.insert(server_id).second)
        context.log.write("server_limit_unreadable", {{"server", server_id}});
    if (!notice.limit && (notice.malformed_limit || !notice.answers_request))
        return;
    const bool changed = policy::note_limit_from_answer(
        context.state.health.limits, server_id, notice.limit,
        context.loop.now());
    if (changed)
        log_limit(context, server_id, {});
    if (notice.limit && context.state.on_limit_received)
        context.state.on_limit_received();
}

} // namespace

void log_limit(
    router_context& context, const std::string& server_id,
    const std::string& reported_by) {
    const auto& limits = context.state.health.limits.servers;
    const auto found = limits.find(server_id);
    if (found != limits.end() && found->second.rate)
        context.log.write(
            "server_limited", {{"server", server_id},
                               {"rate", *found->second.rate},
                               {"told_by", reported_by}});
    else
        context.log.write(
            "server_limit_ended",
            {{"server", server_id}, {"told_by", reported_by}});
}

void observe_server_notices(router_context& context) {
    context.pool.observe_answers(
        [&context](
            const std::string& server_id, const http1::response_head& head) {
            apply_server_notice(
                context, server_id, context.protocol.read_notice(head));
        });
}

void apply_server_notice(
    router_context& context, const std::string& server_id,
    const server_notice& notice) {
    if (notice.leaving &&
        traffic::note_leaving(context.state.servers, server_id))
        context.log.write("server_leaving", {{"server", server_id}});
    if (notice.rest && policy::note_rest(
                           context.state.health.resting, server_id,
                           *notice.rest, context.loop.now()))
        context.log.write(
            "server_rests",
            {{"server", server_id}, {"for_ms", notice.rest->count()}});
    apply_limit(context, server_id, notice);
}

bool may_send_to(const router_context& context, const traffic::server& server) {
    return traffic::takes_new(context.state.servers, server) &&
           !policy::rests(
               context.state.health.resting, server.id, context.loop.now());
}

} // namespace mintknot::relay
