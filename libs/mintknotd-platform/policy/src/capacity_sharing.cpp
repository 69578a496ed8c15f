#include <mintknot/policy/capacity_sharing.hpp>

#include <algorithm>

namespace mintknot::policy {

bool has_large_events(const traffic::service& service) {
    return service.engine &&
           service.engine->tokens_per_event >= min_tokens_per_large_event;
}

bool shares_capacity(
    const traffic::configuration& config, bool callers_compete) {
    return callers_compete || std::any_of(
                                  config.services.begin(),
                                  config.services.end(), [](const auto& entry) {
                                      return has_large_events(entry.second);
                                  });
}

} // namespace mintknot::policy
