#include <mintknot/base/json_reader.hpp>

#include <criterion/criterion.h>

using namespace mintknot;

namespace {

std::string errors_of(const nlohmann::json& document) {
    base::json_errors errors;
    base::json_reader reader(document, "caller", errors);
    reader.required_number("port", {1, 65535});
    reader.text("host", "127.0.0.1");
    reader.finish();
    return std::string(errors.status().message());
}

} // namespace

Test(json_reader, accepts_a_good_document) {
    cr_assert(errors_of({{"port", 80}}).empty());
}

Test(json_reader, names_path_found_and_allowed) {
    const auto text = errors_of({{"port", 70000}});
    cr_assert(
        text == "caller.port: found 70000, allowed is a whole number "
                "from 1 to 65535");
}

Test(json_reader, a_number_beyond_the_signed_range_is_refused) {
    cr_assert(!errors_of({{"port", 18446744073709551615ULL}}).empty());
}

Test(json_reader, unknown_and_missing_fields_are_errors) {
    const auto text = errors_of({{"prot", 80}});
    cr_assert(text.find("caller.port: found nothing") != std::string::npos);
    cr_assert(
        text.find("caller.prot: found an unknown field") != std::string::npos);
}

Test(json_reader, something_other_than_an_object_is_an_error) {
    cr_assert(!errors_of(nlohmann::json::array()).empty());
}
