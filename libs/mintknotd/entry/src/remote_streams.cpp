#include <mintknot/entry/remote_streams.hpp>

#include <fmt/format.h>

#include <thread>

namespace mintknot::entry {

namespace {

using base::reason;
using base::refusal;
using base::verdict;

/// The watcher of an engine may have been the very instance that died: its
/// successor reads the engine once the death is known.
constexpr base::milliseconds search_patience{4000};
constexpr base::milliseconds search_period{100};
/// A reader that left is not waited for longer than this.
constexpr base::milliseconds left_for{1000};

bool is_abandoned(const live_request& copy) {
    return copy.unread_for() > left_for;
}

} // namespace

remote_streams::remote_streams(remote_parts parts)
    : parts_(std::move(parts)) {}

void remote_streams::follow(const base::request_id& id, live_request& copy) {
    const std::string name = base::to_string(id);
    copy.begin_attempt(name);
    const auto holder = control::find_live(*parts_.control.view(), id.holder);
    if (holder)
        read_from_holder(holder->rpc, name, copy);
    if (copy.ended() || is_abandoned(copy))
        return;
    const auto found = search(id, copy);
    const bool own = found && found->organisation == copy.call().organisation;
    if (own)
        read_from_engine(*found, copy);
    if (!copy.ended())
        copy.fail(
            {reason::unknown_request,
             "the instance that held the request has gone, and no engine "
             "holds the rest of its answer",
             verdict::may_have_run});
}

void remote_streams::read_from_holder(
    const base::address& holder, const std::string& request,
    live_request& copy) {
    const rpc::attach_request wanted{
        request, copy.call().organisation, copy.tokens()};
    // A failed call leaves the copy as it is: the engines are asked next.
    const auto status = parts_.peers.attach(
        holder, wanted, [&](const rpc::attach_event& event) {
            if (event.failed)
                copy.fail(*event.failed);
            else if (!event.finish.empty())
                copy.complete(
                    request, event.finish == "length"
                                 ? engine::finish_reason::length
                                 : engine::finish_reason::stop);
            else
                copy.accept_token(request, event.offset, event.text);
            return !copy.ended() && !is_abandoned(copy);
        });
    (void)status;
}

std::optional<rpc::found_stream>
remote_streams::search_once(const base::request_id& id) const {
    const std::string name = base::to_string(id);
    if (auto found = parts_.find_stream(name))
        return found;
    const auto view = parts_.control.view();
    for (const cluster::member& peer : view->live) {
        const bool near = peer.id.data_centre == id.holder.data_centre;
        if (!near || peer.id == view->self || peer.id == id.holder)
            continue;
        auto found = parts_.peers.find_stream(peer.rpc, name);
        if (found.ok())
            return *std::move(found);
    }
    return std::nullopt;
}

std::optional<rpc::found_stream>
remote_streams::search(const base::request_id& id, const live_request& copy) {
    const auto until = base::steady_clock::now() + search_patience;
    while (true) {
        if (auto found = search_once(id))
            return found;
        if (base::steady_clock::now() >= until || is_abandoned(copy))
            return std::nullopt;
        std::this_thread::sleep_for(search_period);
    }
}

void remote_streams::read_from_engine(
    const rpc::found_stream& found, live_request& copy) {
    audit::decision record;
    record.request = copy.id();
    record.kind = audit::decision_kind::resume;
    record.choice = found.engine;
    record.sentence = fmt::format(
        "the holder is gone; engine {} holds attempt {}, read from token {} on",
        found.engine, found.attempt, copy.tokens());
    parts_.decisions.record(std::move(record));

    const auto canceller = copy.next_canceller();
    bool gap = false;
    const auto end = parts_.engines.resume(
        found.where, found.attempt, copy.tokens(), parts_.idle_timeout,
        [&](const engine::decode_event& event) {
            const bool token = event.what == engine::decode_event::kind::token;
            // Tokens of an earlier attempt went with the holder.
            gap = token && event.offset > copy.tokens();
            if (token && !gap)
                copy.accept_token(copy.id(), event.offset, event.text);
            return !gap && !is_abandoned(copy);
        },
        *canceller);
    if (end)
        copy.complete(copy.id(), end->finish);
    else if (!gap)
        copy.fail(end.error());
}

} // namespace mintknot::entry
