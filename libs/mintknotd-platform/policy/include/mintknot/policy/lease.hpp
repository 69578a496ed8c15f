/// @file
/// Lease on the right to send orders to engines, kept as a row in the store.
///
/// Inputs: the version and holder of the row as last read, and the steady clock
/// of this instance; clocks of different instances are never compared. Prevents
/// conflicting orders of two holders: each order carries the row version as its
/// fence.
/// Log event: `lease`.
#ifndef MINTKNOT_POLICY_LEASE_HPP
#define MINTKNOT_POLICY_LEASE_HPP

#include <mintknot/base/time.hpp>

#include <cstdint>
#include <string>

namespace mintknot::policy {

/// Durations of a lease.
struct lease_terms {
    /// Minimum time between an order of one holder and an order of another one.
    /// Set by the settings.
    base::milliseconds length{3000};
    /// How long a holder may send orders after it requested the lease. Long
    /// enough for the notice to peers and two calls.
    base::milliseconds order_period{1000};
    /// Safety margin for clocks that run at different rates and for the
    /// execution of the previous holder's last order.
    base::milliseconds margin{3000};
};

/// The lease row as last read. Its version increases with every holder and is
/// the fence of the orders that this holder sends.
struct lease_view {
    bool read = false;
    std::uint64_t version = 0; ///< 0: the row does not exist.
    std::string holder;
    base::steady_time unchanged_since{}; ///< First read of this version.
};

/// A lease that this instance has acquired.
struct held_lease {
    std::uint64_t fence = 0;
    base::steady_time requested_at{}; ///< Time before the acquiring call.
};

/// Records the state of the lease row as read from the store.
void observe(
    lease_view& view, std::uint64_t version, const std::string& holder,
    base::steady_time now);

/// @return true if this instance may try to acquire the lease: the row is its
/// own, does not exist, or has been unchanged for so long that its holder has
/// sent no order for the length of a lease and can send none any more.
bool may_take(
    const lease_view& view, const std::string& self, const lease_terms& terms,
    base::steady_time now);

/// @return true if the holder of the lease may send an order now.
bool may_order(
    const held_lease& lease, const lease_terms& terms, base::steady_time now);

} // namespace mintknot::policy

#endif
