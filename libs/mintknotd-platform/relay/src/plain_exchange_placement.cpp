/// @file
/// Where a plain exchange is sent: the choice of its first server, and of
/// another one while a server is silent.

#include "plain_exchange.hpp"

#include <mintknot/policy/timeouts.hpp>
#include <mintknot/relay/server_notices.hpp>
#include <mintknot/relay/server_results.hpp>

namespace mintknot::relay {

void plain_exchange::place() {
    policy::placement_query query;
    query.service = service_.name;
    query.version = stream_version_;
    query.excluded = tried_;
    query.claim = claim(false, verdict_ != base::verdict::not_run);
    placement_ = place_request(
        context_, service_, std::move(query),
        [this](const policy::placement& placed) { on_placed(placed); });
}

void plain_exchange::on_placed(const policy::placement& placed) {
    const traffic::server* chosen =
        traffic::find(context_.state.servers, placed.server);
    const bool unavailable =
        chosen != nullptr &&
        (!may_send_to(context_, *chosen) || is_other_version(*chosen));
    // The scheduler may not know yet that the server takes no new requests or
    // that its data centre is closed: excluded, it is not chosen again.
    if (unavailable && tried_.insert(chosen->id).second) {
        place();
        return;
    }
    const bool found = chosen != nullptr && !unavailable;
    if (call_ != nullptr && !(found && leave_silent_server()))
        look_again_later();
    else if (!found)
        on_no_server(placed);
    else if (ensure_allowed())
        send(*chosen, placed);
}

void plain_exchange::look_again_later() {
    silence_timer_.start(policy::plain_timeout(route_), [this] { place(); });
}

bool plain_exchange::leave_silent_server() {
    if (find_block() || !spend_retry(context_, service_.name))
        return false;
    raise_verdict(base::verdict::may_have_run);
    call_.reset();
    release_load();
    context_.metrics.count_retry(next_step(policy::call_end::silent).reason);
    return true;
}

void plain_exchange::on_silence() {
    note_call_result(
        context_, server_, policy::call_result::slow, request_.terms.id);
    // The call is cancelled only once another server has been chosen.
    if (next_step(policy::call_end::silent).what !=
        policy::action::keep_waiting)
        place();
}

} // namespace mintknot::relay
