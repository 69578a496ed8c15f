/// @file
/// Refuses new connections of callers while this instance is overloaded and its
/// peers are not.
#ifndef MINTKNOT_RELAY_LOAD_SHEDDER_HPP
#define MINTKNOT_RELAY_LOAD_SHEDDER_HPP

#include <mintknot/policy/load_shedding.hpp>
#include <mintknot/relay/entry_server.hpp>
#include <mintknot/relay/router_state.hpp>

#include <functional>
#include <memory>

namespace mintknot::relay {

/// Where the shedder learns of its peers, and tells them.
struct shedder_callbacks {
    /// @return the load of the peers that callers of the data centre may turn
    /// to.
    std::function<policy::peer_load()> neighbours;
    /// Called when this instance becomes overloaded, and when it no longer is.
    std::function<void(bool overloaded)> on_change;
};

/// Opens and closes the entry server by policy/load_shedding.hpp. Log events:
/// `shedding`, `shedding_ended`, `not_accepting`.
///
/// Used only on the event loop's thread. Context and entry server must outlive
/// it.
class load_shedder {
public:
    load_shedder(
        router_context& context, entry_server& entry,
        shedder_callbacks callbacks);
    ~load_shedder();
    load_shedder(const load_shedder&) = delete;
    load_shedder& operator=(const load_shedder&) = delete;

    /// The entry server is opened no more.
    void stop();

    /// @return true if a connection is to be closed behind its answer, so that
    /// its caller connects anew and may be handed to another instance.
    bool ends_connection();

    bool overloaded() const noexcept;
    /// @return the share of new connections that are refused.
    double share() const noexcept;
    /// @return true if new connections are refused at present.
    bool refusing() const noexcept;

private:
    struct impl;
    std::unique_ptr<impl> impl_;
};

} // namespace mintknot::relay

#endif
