#include "peer_feed.hpp"

namespace mintknot::runtime {

namespace {

constexpr int status_ok = 200;
constexpr int status_gone = 410;
constexpr int status_unavailable = 503;

} // namespace

peer_feed::peer_feed(
    event::loop& owner, const state::replica& source, position_source position,
    confirmation_source confirmation)
    : owner_(owner)
    , source_(source)
    , position_(std::move(position))
    , confirmation_(std::move(confirmation)) {}

void peer_feed::ask(
    const state::change_request& request, relay::local_reply reply) {
    held_.emplace_back(owner_, request, std::move(reply));
    const auto entry = std::prev(held_.end());
    if (answer(*entry, false)) {
        held_.erase(entry);
        return;
    }
    entry->limit.start(request.wait, [this, entry] {
        answer(*entry, true);
        held_.erase(entry);
    });
}

void peer_feed::confirmed(state::collection what) {
    for (auto entry = held_.begin(); entry != held_.end();) {
        const bool done = entry->request.what == what && answer(*entry, true);
        entry = done ? held_.erase(entry) : std::next(entry);
    }
}

bool peer_feed::answer(const held_request& held, bool final) const {
    const auto position = position_(held.request.what);
    if (!position) {
        held.reply({status_unavailable, "text/plain", "no store\n"});
        return true;
    }
    auto changes =
        source_.changes(held.request.what, held.request.after, *position);
    if (!changes) {
        held.reply({status_gone, "text/plain", "forgotten\n"});
        return true;
    }
    if (changes->empty() && !final)
        return false;
    state::store_answer message;
    message.version = *position;
    message.documents = std::move(*changes);
    if (confirmation_)
        message.confirmed = confirmation_(held.request.what);
    held.reply(
        {status_ok, "application/msgpack",
         state::to_body(message, held.asked)});
    return true;
}

} // namespace mintknot::runtime
