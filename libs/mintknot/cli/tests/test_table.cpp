#include <mintknot/cli/table.hpp>

#include <criterion/criterion.h>

using namespace mintknot;

Test(table, columns_are_aligned_without_trailing_blanks) {
    const auto text =
        cli::to_string({{"NAME", "N"}, {{"a", "1"}, {"longer", "22"}}});
    cr_assert(text == "NAME    N\na       1\nlonger  22\n");
}
