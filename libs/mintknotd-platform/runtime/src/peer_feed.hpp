/// @file
/// Tells other instances what this one reads from the store.
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

/// Holds each request until there are changes behind its version, or until its
/// wait is over. An instance that is itself out of the store's reach says so
/// (503), so that the asker turns to another one; changes that it no longer
/// remembers are said to be gone (410).
///
/// Lifetime: loop and replica must outlive it.
class peer_feed {
public:
    /// @return up to where this instance has read a collection from the store;
    /// nothing while that is out of reach.
    using position_source =
        std::function<std::optional<std::uint64_t>(state::collection)>;

    /// @return a moment at which nothing newer existed than what this instance
    /// knows; nothing: it cannot be told.
    using confirmation_source =
        std::function<std::optional<base::steady_time>(state::collection)>;

    peer_feed(
        event::loop& owner, const state::replica& source,
        position_source position, confirmation_source confirmation = {});
    peer_feed(const peer_feed&) = delete;
    peer_feed& operator=(const peer_feed&) = delete;

    void ask(const state::change_request& request, relay::local_reply reply);
    /// The collection has been confirmed anew, or cannot be any more: all that
    /// wait are told so, for they must know how old their knowledge is.
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

    /// @param final true: an answer without changes is an answer, too.
    /// @return false if the request is to be held on.
    bool answer(const held_request& held, bool final) const;

    event::loop& owner_;
    const state::replica& source_;
    position_source position_;
    confirmation_source confirmation_;
    held_requests held_;
};

} // namespace mintknot::runtime

#endif
