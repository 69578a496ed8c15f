#include <mintknot/traffic/configuration.hpp>

#include <criterion/criterion.h>

using namespace mintknot::traffic;

namespace {

configuration
with_routes(const std::vector<std::pair<std::string, std::string>>& places) {
    configuration value;
    for (const auto& [host, prefix] : places) {
        route entry;
        entry.name = host + prefix;
        entry.host = host;
        entry.path_prefix = prefix;
        entry.services = {{"s", 1.0}};
        value.routes.push_back(entry);
    }
    index(value);
    return value;
}

} // namespace

Test(configuration, the_longest_prefix_wins) {
    const configuration value =
        with_routes({{"h", "/"}, {"h", "/a/"}, {"h", "/a/b/"}});
    cr_assert(find_route(value, "h", "/a/b/c")->path_prefix == "/a/b/");
    cr_assert(find_route(value, "h", "/a/bc")->path_prefix == "/a/");
    cr_assert(find_route(value, "h", "/x?y=/a/b/")->path_prefix == "/");
}

Test(configuration, hosts_are_compared_without_case_and_port) {
    const configuration value = with_routes({{"H.example", "/a/"}});
    cr_assert(find_route(value, "h.EXAMPLE:8080", "/a/x") != nullptr);
    cr_assert(find_route(value, "i.example", "/a/x") == nullptr);
}

Test(configuration, a_path_outside_all_prefixes_has_no_route) {
    const configuration value = with_routes({{"h", "/a/"}});
    cr_assert(find_route(value, "h", "/b/x") == nullptr);
    cr_assert(find_route(value, "h", "/a") == nullptr);
    cr_assert(find_route(value, "h", "*") == nullptr);
    cr_assert(find_route(value, "h", "") == nullptr);
}

Test(configuration, splits_follow_the_weights) {
    route entry;
    entry.services = {{"a", 90.0}, {"b", 10.0}};
    cr_assert(choose_service(entry, 0.0) == "a");
    cr_assert(choose_service(entry, 0.899) == "a");
    cr_assert(choose_service(entry, 0.901) == "b");
    cr_assert(choose_service(entry, 0.999999) == "b");
}
