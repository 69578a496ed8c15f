#include <mintknot/build/info.hpp>

#include <criterion/criterion.h>

using namespace mintknot;

Test(build_info, a_program_names_its_version_and_commit) {
    const build::info info = build::current();
    cr_assert(!info.version.empty());
    cr_assert(info.version != build::info{}.version);
    cr_assert(!info.commit.empty());
}
