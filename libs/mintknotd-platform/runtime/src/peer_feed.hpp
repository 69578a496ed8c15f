/// @file
/// Passes on to other instances what this one reads from the store.
#ifndef MINTKNOT_RUNTIME_PEER_FEED_HPP
#define MINTKNOT_RUNTIME_PEER_FEED_HPP

#include <mintknot/event/loop.hpp>
#include <mintknot/relay/local_server.hpp>
#include <mintknot/state/change_message.hpp>
#include <mintknot/state/replica.hpp>

#include <cstdint>
#include <functional>
#include <list>
#include <optional>

namespace mintknot::runtime {

/// Holds each request until there are changes after its version or until its
/// wait ends (long polling). Answers 503 if this instance cannot reach the
/// store, so that the follower asks another one, and 410 if the changes are no
/// longer in its history.
///
/// Lifetime: the loop and the replica must outlive it.
class peer_feed {
public:
    /// @return the version up to which this instance has read a collection;
    /// nullopt while the store is unreachable.
    using position_source =
        std::function<std::optional<std::uint64_t>(state::collection)>;

    /// @return the last time at which this instance is known to have been up to
    /// date; nullopt if unknown.
    using confirmation_source =
        std::function<std::optional<base::steady_time>(state::collection)>;

    peer_feed(
        event::loop& owner, const state::replica& source,
        position_source position, confirmation_source confirmation = {});
    peer_feed(const peer_feed&) = delete;
    peer_feed& operator=(const peer_feed&) = delete;

    void ask(const state::change_request& request, relay::local_reply reply);
    /// Answers all held requests for the collection: it has been confirmed
    /// again, or the store has become unreachable. Followers need this to know
    /// the age of their data.
    void confirmed(state::collection what);

private:
    struct held_request {
        held_request(
            event::loop& owner, state::change_request wanted,
            relay::local_reply answer)
            : request(wanted)
            , asked(owner.now())
            , reply(std::move(answer))
            , limit(owner) {}
        state::change_request request;
        base::steady_time asked;
        relay::local_reply reply;
        event::timer limit;
    };
    using held_requests = std::list<held_request>;

    /// @param final true: answer even if there are no changes.
    /// @return false if the request remains held.
    bool answer(const held_request& held, bool final) const;

    event::loop& owner_;
    const state::replica& source_;
    position_source position_;
    confirmation_source confirmation_;
    held_requests held_;
};

} // namespace mintknot::runtime

#endif
