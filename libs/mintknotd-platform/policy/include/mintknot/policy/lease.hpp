/// @file
/// Who may give orders to engines: a lease row in the store.
///
/// Inputs: the row's version and holder as last read, and this instance's
/// steady clock; clocks are never compared. Guards against orders of two
/// holders that cross: each carries the row's version as its fence.
/// Log event: `lease`.
#ifndef MINTKNOT_POLICY_LEASE_HPP
#define MINTKNOT_POLICY_LEASE_HPP

#include <mintknot/base/time.hpp>

#include <cstdint>
#include <string>

namespace mintknot::policy {

/// Times of a lease.
struct lease_terms {
    /// After an order of one holder, no other may order for this long. Bound
    /// given by the settings.
    base::milliseconds length{3000};
    /// A holder orders only this long after it began to take the lease: the
    /// notice to peers and two calls fit in.
    base::milliseconds order_period{1000};
    /// For clocks that run apart, and for the former holder's last order to
    /// have been carried out.
    base::milliseconds margin{3000};
};

/// The lease row as it was last seen. Its version is the fence of the orders
/// that its holder gives: it rises with every holder.
struct lease_view {
    bool read = false;
    std::uint64_t version = 0; ///< 0: there is no row.
    std::string holder;
    base::steady_time unchanged_since{}; ///< Since when the version is seen.
};

/// A lease that this instance has taken.
struct held_lease {
    std::uint64_t fence = 0;
    base::steady_time requested_at{}; ///< Before the call that took it.
};

/// Takes what the store says of the row.
void observe(
    lease_view& view, std::uint64_t version, const std::string& holder,
    base::steady_time now);

/// @return true if this holder may try to take the lease: the row is its own,
/// there is none, or it has not changed for so long that its holder gives no
/// order any more and has given none for the length of a lease.
bool may_take(
    const lease_view& view, const std::string& self, const lease_terms& terms,
    base::steady_time now);

/// @return true if an order may be sent under the lease now.
bool may_order(
    const held_lease& lease, const lease_terms& terms, base::steady_time now);

} // namespace mintknot::policy

#endif
