#include <mintknot/policy/domain.hpp>

#include <criterion/criterion.h>
#include <fmt/format.h>

using namespace mintknot;
using namespace mintknot::policy;

namespace {

traffic::server_table
servers_in(const std::vector<std::string>& data_centres, std::size_t in_each) {
    traffic::server_table table;
    std::uint64_t version = 0;
    for (const std::string& data_centre : data_centres)
        for (std::size_t i = 0; i < in_each; ++i) {
            traffic::server server;
            server.id = fmt::format("{}-{}", data_centre, i);
            server.service = "llm";
            server.data_centre = data_centre;
            traffic::apply(table, server.id, ++version, server);
        }
    return table;
}

} // namespace

Test(domain, few_servers_form_one_domain) {
    const auto table = servers_in({"a", "b"}, 12);
    const std::vector<domain> expected = {{"llm", ""}};
    cr_assert(domains_of(table, "llm", "a") == expected);
    cr_assert(domain_of(table, *traffic::find(table, "b-1")) == expected[0]);
}

Test(domain, many_servers_are_split_by_data_centre) {
    const auto table = servers_in({"a", "b", "c"}, 10);
    const auto domains = domains_of(table, "llm", "b");
    cr_assert(domains.size() == 3);
    cr_assert(domains[0].data_centre == "b");
    cr_assert(
        domain_of(table, *traffic::find(table, "c-1")).data_centre == "c");
}

Test(domain, scheduler_does_not_depend_on_host_order) {
    const domain which{"llm", "a"};
    cr_assert(
        schedulers_of(which, {"1", "2", "3"}).active ==
        schedulers_of(which, {"3", "1", "2"}).active);
    cr_assert(schedulers_of(which, {}).active.empty());
    cr_assert(scheduler_of(which, {}).empty());
    cr_assert(
        scheduler_of(which, {"1", "2", "3"}) ==
        schedulers_of(which, {"3", "1", "2"}).active);
    cr_assert(schedulers_of(which, {"1"}).standby.empty());
    const domain_schedulers all = schedulers_of(which, {"1", "2", "3"});
    std::vector<std::string> left = {"1", "2", "3"};
    std::erase(left, all.active);
    cr_assert(schedulers_of(which, left).active == all.standby);
}
