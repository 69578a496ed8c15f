#include <mintknot/base/prompt_blocks.hpp>

#include <criterion/criterion.h>

#include <string>

using namespace mintknot;

Test(prompt_blocks, shared_prefixes_share_hashes) {
    const std::string prefix(base::block_bytes * 3, 'x');
    const auto left = base::block_hashes(prefix + "left");
    const auto right = base::block_hashes(prefix + std::string(300, 'r'));
    cr_assert_eq(left.size(), 3U);
    cr_assert_eq(right.size(), 4U);
    for (std::size_t i = 0; i < left.size(); ++i)
        cr_assert_eq(left[i], right[i]);
    cr_assert_neq(left[0], left[1]);
}

Test(prompt_blocks, sparse_prefix_grows_with_the_logarithm) {
    const std::string prompt(base::block_bytes * 700, 'y');
    const auto sparse = base::sparse_prefix(base::block_hashes(prompt));
    cr_assert_eq(sparse.size(), 11U);
    cr_assert_eq(sparse.back().blocks, 700U);
    cr_assert(base::sparse_prefix({}).empty());
}
