#include <mintknot/base/random.hpp>

#include <criterion/criterion.h>

#include <algorithm>
#include <set>

using namespace mintknot;

Test(random, some_values_are_kept_and_none_twice) {
    const std::vector<std::string> all = {"a", "b", "c", "d", "e"};
    std::vector<std::string> some = all;
    base::keep_some(some, 3);
    const std::set<std::string> kept(some.begin(), some.end());
    cr_assert(kept.size() == 3);
    for (const std::string& value : kept)
        cr_assert(std::find(all.begin(), all.end(), value) != all.end());
    base::keep_some(some, 7);
    cr_assert(some.size() == 3);
    base::keep_some(some, 0);
    cr_assert(some.empty());
}
