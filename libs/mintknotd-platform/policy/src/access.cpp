#include <mintknot/policy/access.hpp>

namespace mintknot::policy {

bool is_fresh(const configuration_freshness& freshness) {
    if (!freshness.revocation_bound)
        return true;
    return freshness.age &&
           *freshness.age <= *freshness.revocation_bound - staleness_margin;
}

access_decision check_access(
    const traffic::organisation_table* organisations, bool open_to_all,
    const std::optional<std::string>& key,
    const configuration_freshness& freshness) {
    if (organisations == nullptr)
        return {};
    if (!is_fresh(freshness))
        return {
            open_to_all ? access_verdict::granted
                        : access_verdict::stale_configuration,
            nullptr};
    const traffic::organisation* holder =
        key ? organisations->find_by_key(*key) : nullptr;
    if (holder == nullptr && !open_to_all)
        return {access_verdict::unknown_key, nullptr};
    return {access_verdict::granted, holder};
}

} // namespace mintknot::policy
