#include <mintknot/load/mix.hpp>

#include <criterion/criterion.h>

using namespace mintknot;

Test(mix, is_read_and_checked) {
    const auto good = load::parse_mix(R"({"name": "n", "model": "m",
        "parts": [{"class": "a", "key": "k", "share": 2}]})");
    cr_assert(good.ok());
    cr_assert_eq(good->parts[0].share, 2.0);
    const auto bad = load::parse_mix(R"({"name": "n", "model": "m",
        "parts": [{"class": "a", "key": "k", "shared_share": 2}]})");
    cr_assert(
        std::string(bad.status().message()).find("parts[0].shared_share:") ==
        0);
    cr_assert(!load::parse_mix(R"({"name": "n", "model": "m"})").ok());
}
