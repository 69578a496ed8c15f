#include <mintknot/policy/lease.hpp>

namespace mintknot::policy {

void observe(
    lease_view& view, std::uint64_t version, const std::string& holder,
    base::steady_time now) {
    if (!view.read || view.version != version)
        view.unchanged_since = now;
    view.read = true;
    view.version = version;
    view.holder = holder;
}

bool may_take(
    const lease_view& view, const std::string& self, const lease_terms& terms,
    base::steady_time now) {
    if (!view.read)
        return false;
    if (view.version == 0 || view.holder == self)
        return true;
    return now - view.unchanged_since >=
           terms.length + terms.order_period + terms.margin;
}

bool may_order(
    const held_lease& lease, const lease_terms& terms, base::steady_time now) {
    return lease.fence > 0 && now - lease.requested_at < terms.order_period;
}

} // namespace mintknot::policy
