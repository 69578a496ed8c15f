#include "script.hpp"

#include <criterion/criterion.h>

using namespace mintknot;

namespace {

std::string error_of(const char* text) {
    const auto parsed = scenario::parse_script(text);
    return parsed.ok() ? "" : std::string(parsed.status().message());
}

} // namespace

Test(script, lines_become_steps) {
    const auto steps = scenario::parse_script(
        "# a comment\n\nsend A to entry-2 prompt \"two words\" tokens 9 # end\n"
        "expect A whole\n");
    cr_assert(steps.ok());
    cr_assert_eq(steps->size(), 2U);
    const auto& send = steps->front();
    cr_assert_eq(send.line, 3U);
    cr_assert(send.verb == "send" && send.subject == "A");
    cr_assert(send.text_of("prompt") == "two words");
    cr_assert_eq(send.number("tokens"), 9U);
    cr_assert(steps->back().has("whole"));
}

Test(script, errors_name_the_line) {
    cr_assert(error_of("\nsnd A").find("line 2: unknown verb") == 0);
    cr_assert(error_of("kill").find("line 1:") == 0);
    cr_assert(
        error_of("send A tokens").find("needs a value") != std::string::npos);
    cr_assert(
        error_of("send A token 3").find("unknown word") != std::string::npos);
}
