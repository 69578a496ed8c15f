#include <mintknot/policy/capacity_sharing.hpp>

#include <criterion/criterion.h>

using namespace mintknot;
using namespace mintknot::policy;

namespace {

traffic::configuration configuration_with(double tokens_per_event) {
    traffic::configuration config;
    config.services["app"].name = "app";
    traffic::service& engines = config.services["llm"];
    engines.name = "llm";
    engines.engine.emplace();
    engines.engine->tokens_per_event = tokens_per_event;
    return config;
}

} // namespace

// Guards against a change of decisions on deployments that do not call for it.
Test(capacity_sharing, follows_from_settings_or_large_events_only) {
    cr_assert(!shares_capacity({}, false));
    cr_assert(!shares_capacity(configuration_with(13.0), false));
    cr_assert(shares_capacity(configuration_with(13.0), true));
    cr_assert(shares_capacity(configuration_with(64.0), false));
}
