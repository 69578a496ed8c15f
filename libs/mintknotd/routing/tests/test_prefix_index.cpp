#include <mintknot/routing/prefix_index.hpp>

#include <criterion/criterion.h>

using namespace mintknot;
using prefix = std::vector<base::prefix_hash>;

Test(prefix_index, finds_the_longest_prefix_on_each_engine) {
    routing::prefix_index index(100);
    index.add(0, prefix{{1, 11}, {2, 22}, {4, 44}});
    index.add(2, prefix{{1, 11}});
    const auto blocks =
        index.cached_blocks(prefix{{1, 11}, {2, 22}, {4, 45}}, 3);
    cr_assert_eq(blocks[0], 2U);
    cr_assert_eq(blocks[1], 0U);
    cr_assert_eq(blocks[2], 1U);
}

Test(prefix_index, is_corrected_and_forgets) {
    routing::prefix_index index(100);
    const prefix prompt{{1, 11}, {2, 22}, {4, 44}};
    index.add(0, prompt);
    index.correct(0, prompt, 1);
    cr_assert_eq(index.cached_blocks(prompt, 1)[0], 1U);
    index.forget(0);
    cr_assert_eq(index.size(), 0U);
}

Test(prefix_index, engines_share_its_bound) {
    routing::prefix_index index(20);
    for (std::uint64_t i = 0; i < 1000; ++i) {
        index.add(0, prefix{{1, i}});
        index.add(1, prefix{{1, 5000 + i}});
    }
    cr_assert_eq(index.size(), 20U);
    cr_assert_eq(index.cached_blocks(prefix{{1, 999}}, 1)[0], 1U);
    cr_assert_eq(index.cached_blocks(prefix{{1, 5}}, 1)[0], 0U);
}
