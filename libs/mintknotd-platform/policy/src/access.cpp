#include <mintknot/policy/access.hpp>

namespace mintknot::policy {

bool is_fresh(const knowledge& known) {
    if (!known.revocation_bound)
        return true;
    return known.age &&
           *known.age <= *known.revocation_bound - knowledge_margin;
}

access_decision check_access(
    const traffic::organisation_table* organisations, bool open_to_all,
    const std::optional<std::string>& key, const knowledge& known) {
    if (organisations == nullptr)
        return {};
    if (!is_fresh(known))
        return {
            open_to_all ? access_verdict::granted
                        : access_verdict::old_knowledge,
            nullptr};
    const traffic::organisation* holder =
        key ? organisations->find_by_key(*key) : nullptr;
    if (holder == nullptr && !open_to_all)
        return {access_verdict::unknown_key, nullptr};
    return {access_verdict::granted, holder};
}

} // namespace mintknot::policy
