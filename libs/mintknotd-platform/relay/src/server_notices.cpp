#include <mintknot/relay/server_notices.hpp>

namespace mintknot::relay {

void follow_server_notices(router_context& context) {
    context.pool.observe_answers(
        [&context](
            const std::string& server_id, const http1::response_head& head) {
            take_notice(context, server_id, context.protocol.read_notice(head));
        });
}

void take_notice(
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
}

bool may_send_to(const router_context& context, const traffic::server& server) {
    return traffic::takes_new(context.state.servers, server) &&
           !policy::rests(
               context.state.health.resting, server.id, context.loop.now());
}

} // namespace mintknot::relay
