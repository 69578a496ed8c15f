/// @file
/// Tells the peers of the data centre that this instance is overloaded, and
/// keeps which of them are.
#ifndef MINTKNOT_RUNTIME_OVERLOAD_SHARING_HPP
#define MINTKNOT_RUNTIME_OVERLOAD_SHARING_HPP

#include <mintknot/event/loop.hpp>
#include <mintknot/policy/load_shedding.hpp>

#include <absl/status/statusor.h>

#include <functional>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace mintknot::runtime {

/// Tells that the sender is overloaded.
struct overload_notice {
    base::milliseconds lifetime{0}; ///< Zero: it no longer is.
};

/// @return the message in MessagePack. Instances that do not know the format
/// ignore it as malformed.
std::string encode(const overload_notice& value);

/// @return InvalidArgument if the datagram is not this message.
absl::StatusOr<overload_notice>
decode_overload_notice(std::string_view datagram);

/// Functions through which overload_sharing reaches other instances.
struct overload_ports {
    std::function<void(const std::string& host, const std::string& datagram)>
        send;
    /// @return hosts of the peers of the data centre that are heard and not
    /// about to stop.
    std::function<std::vector<std::string>()> neighbours;
};

/// Sends nothing while this instance is not overloaded. Used on the loop's
/// thread only; the loop must outlive it.
class overload_sharing {
public:
    overload_sharing(event::loop& owner, overload_ports ports);

    /// To be called when this instance becomes overloaded or no longer is.
    void set_overloaded(bool overloaded);

    /// @return false if the datagram is about something else.
    bool receive(const std::string& host, std::string_view datagram);

    /// @return how many neighbours there are, and how many are overloaded.
    policy::peer_load neighbours() const;

private:
    void tell(base::milliseconds lifetime);
    void tell_again();

    event::loop& owner_;
    overload_ports ports_;
    event::timer timer_;
    /// When the word of an overloaded peer lapses, by host.
    std::map<std::string, base::steady_time> overloaded_until_;
};

} // namespace mintknot::runtime

#endif
