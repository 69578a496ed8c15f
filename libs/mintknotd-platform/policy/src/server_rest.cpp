#include <mintknot/policy/server_rest.hpp>

#include <algorithm>

namespace mintknot::policy {

bool note_rest(
    rest_view& view, const std::string& id, base::milliseconds requested,
    base::steady_time now) {
    if (requested <= base::milliseconds{0})
        return false;
    std::erase_if(
        view.until, [now](const auto& item) { return item.second <= now; });
    const bool is_new = !view.until.contains(id);
    base::steady_time& end = view.until[id];
    end = std::max(end, now + std::min(requested, max_rest));
    return is_new;
}

bool rests(
    const rest_view& view, const std::string& id, base::steady_time now) {
    return rest_end(view, id) > now;
}

base::steady_time rest_end(const rest_view& view, const std::string& id) {
    const auto found = view.until.find(id);
    return found == view.until.end() ? base::steady_time{} : found->second;
}

std::optional<base::milliseconds> time_until_first_rest_end(
    const rest_view& view, const std::vector<const traffic::server*>& servers,
    base::steady_time now) {
    std::optional<base::milliseconds> first;
    for (const traffic::server* server : servers) {
        if (!rests(view, server->id, now))
            return std::nullopt;
        const base::milliseconds left =
            base::time_left(rest_end(view, server->id), now);
        if (!first || left < *first)
            first = left;
    }
    return first;
}

} // namespace mintknot::policy
