#include <mintknot/entry/call_parser.hpp>

#include <mintknot/base/sha256.hpp>

#include <criterion/criterion.h>

using namespace mintknot;
using namespace mintknot::entry;

namespace {

config::catalogue some_catalogue() {
    using config::resource_kind;
    return config::catalogue::from(
        {{resource_kind::service, "s", 1, {{"model", "m1"}}},
         {resource_kind::organisation,
          "o",
          2,
          {{"key_sha256", {base::sha256_hex("key")}}}},
         {resource_kind::request_class, "slow", 3, {{"deadline_ms", 9000}}}},
        3);
}

caller_headers headers() {
    return {"Bearer key", "slow", "", ""};
}

} // namespace

Test(call_parser, the_nearer_deadline_counts) {
    auto given = headers();
    cr_assert_eq(identify(some_catalogue(), given)->deadline.count(), 9000);
    given.deadline_ms = "100";
    cr_assert_eq(identify(some_catalogue(), given)->deadline.count(), 100);
    given.deadline_ms = "100000";
    cr_assert_eq(identify(some_catalogue(), given)->deadline.count(), 9000);
}

Test(call_parser, a_call_without_a_class_gets_the_defaults) {
    auto given = headers();
    given.request_class.clear();
    const auto caller = identify(some_catalogue(), given);
    cr_assert(caller->class_name == "default");
    cr_assert_eq(caller->deadline.count(), 60000);
}

Test(call_parser, other_well_known_fields_are_let_through) {
    const auto catalogue = some_catalogue();
    const auto caller = identify(catalogue, headers());
    const auto call = parse_completion(
        catalogue, *caller,
        R"({"model": "m1", "prompt": ["a"], "temperature": 0.2, "n": 1})");
    cr_assert(static_cast<bool>(call));
    cr_assert(call->prompt == "a");
    cr_assert(call->service == "s");
    cr_assert_eq(call->max_tokens, 16U);
    cr_assert(!call->stream);
}

Test(call_parser, offsets_are_whole_numbers) {
    cr_assert_eq(*parse_offset(""), 0U);
    cr_assert_eq(*parse_offset("17"), 17U);
    for (const char* text : {"-1", "1x", " 1", "1e3"})
        cr_assert(!parse_offset(text), "%s", text);
}
