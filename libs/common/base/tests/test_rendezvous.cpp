#include <mintknot/base/rendezvous.hpp>

#include <criterion/criterion.h>

#include <map>

using namespace mintknot;

Test(rendezvous, does_not_depend_on_the_order) {
    const auto chosen = base::rendezvous("job", {"a", "b", "c"});
    cr_assert(chosen == base::rendezvous("job", {"c", "a", "b"}));
    cr_assert(base::rendezvous("job", {}).empty());
}

Test(rendezvous, a_node_that_goes_moves_only_its_own_jobs) {
    const std::vector<std::string> all{"a", "b", "c", "d"};
    const std::vector<std::string> rest{"a", "b", "c"};
    std::map<std::string, int> jobs;
    for (int i = 0; i < 1000; ++i) {
        const auto job = std::to_string(i);
        const auto before = base::rendezvous(job, all);
        ++jobs[before];
        if (before != "d")
            cr_assert(base::rendezvous(job, rest) == before);
    }
    for (const auto& [node, count] : jobs)
        cr_assert(count > 150 && count < 350, "%s", node.c_str());
}

Test(rendezvous, the_first_nodes_are_in_the_order_of_choice) {
    const std::vector<std::string> nodes{"a", "b", "c"};
    const auto two = base::rendezvous_first("job", nodes, 2);
    cr_assert(two.size() == 2);
    cr_assert(two[0] == base::rendezvous("job", nodes));
    cr_assert(two[0] != two[1]);
    cr_assert(base::rendezvous_first("job", nodes, 9).size() == 3);
    cr_assert(base::rendezvous_first("job", {}, 2).empty());
}
