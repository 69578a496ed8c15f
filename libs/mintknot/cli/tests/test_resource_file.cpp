#include <mintknot/cli/resource_file.hpp>

#include <criterion/criterion.h>

using namespace mintknot;

namespace {

std::string error_of(const char* text) {
    const auto parsed = cli::parse_resources(text);
    return parsed.ok() ? "" : std::string(parsed.status().message());
}

} // namespace

Test(resource_file, is_sorted_into_an_order_that_can_be_applied) {
    const auto parsed = cli::parse_resources(R"({"resources": [
        {"kind": "pool", "name": "p", "spec": {"service": "s"}},
        {"kind": "service", "name": "s", "spec": {"model": "m"}}]})");
    cr_assert(parsed.ok());
    cr_assert(parsed->at(0).name == "s");
}

Test(resource_file, errors_name_the_place_in_the_file) {
    cr_assert(
        error_of(R"({"resources": [{"kind": "pool", "name": "p",
                     "spec": {"servce": "s"}}]})")
            .find("resources[0].spec.servce:") != std::string::npos);
    cr_assert(
        error_of(R"({"resources": [{"kind": "pol", "name": "p"}]})")
            .find("resources[0].kind:") != std::string::npos);
    cr_assert(!error_of("[]").empty());
    cr_assert(!error_of("{\"resources\": 7}").empty());
    cr_assert(!error_of("{").empty());
}
