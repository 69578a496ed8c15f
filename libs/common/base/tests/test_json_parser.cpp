#include <mintknot/base/datagram.hpp>
#include <mintknot/base/json_parser.hpp>

#include <criterion/criterion.h>

#include <limits>
#include <string>

using namespace mintknot::base;
using nlohmann::json;

namespace {

std::string nested(std::size_t depth) {
    return std::string(depth, '[') + std::string(depth, ']');
}

/// A MessagePack array of one element, so many times, around a null.
std::string nested_message(std::size_t depth) {
    return std::string(depth, '\x91') + '\xc0';
}

} // namespace

Test(json_parser, reads_what_the_library_reads) {
    const std::string text =
        R"({"a":[1,-2,2.5,true,null,"x\u00e9",{"b":{}},[]],"a2":"","c":{"d":[{}]}})";
    cr_assert(*parse_json(text) == json::parse(text));
    cr_assert(*parse_json("7") == json(7));
    cr_assert(
        *parse_message_pack(encode_datagram(json::parse(text))) ==
        json::parse(text));
}

// A number that no type holds ended the process that read it.
Test(json_parser, a_number_beyond_all_types_is_an_error_not_an_exception) {
    for (const std::string text :
         {"1e999", "-1e999", "{\"zone\":1e999}", "[[1e400]]"}) {
        const auto parsed = parse_json(text);
        cr_assert(!parsed.ok());
        cr_assert(
            parsed.status().message().find("out of range") !=
            std::string::npos);
    }
}

// Values nested thousands deep ended the process that copied or printed them.
Test(json_parser, deep_nesting_is_an_error) {
    cr_assert(parse_json(nested(max_json_depth)).ok());
    cr_assert(!parse_json(nested(max_json_depth + 1)).ok());
    cr_assert(!parse_json("{\"version\":" + nested(200'000) + "}").ok());
    cr_assert(parse_message_pack(nested_message(max_json_depth)).ok());
    cr_assert(!parse_message_pack(nested_message(max_json_depth + 1)).ok());
    cr_assert(!parse_message_pack(nested_message(10'000'000)).ok());
}

Test(json_parser, message_pack_numbers_that_are_not_finite_are_errors) {
    for (const double value :
         {std::numeric_limits<double>::infinity(),
          std::numeric_limits<double>::quiet_NaN()})
        cr_assert(!parse_message_pack(encode_datagram({value})).ok());
}

Test(json_parser, errors_name_the_byte) {
    cr_assert(
        parse_json("{\"a\":x}").status().message() ==
        "not JSON: parsing stopped at byte 6");
    for (const std::string text : {"", " ", "{", "[1,]", "1 2", "\xff"})
        cr_assert(!parse_json(text).ok());
    cr_assert(!parse_message_pack("").ok());
    cr_assert(!parse_message_pack("\x92\x01").ok());
    cr_assert(parse_json_or_discard("{").is_discarded());
}

Test(json_parser, text_that_is_not_utf_8_can_be_printed) {
    cr_assert(to_text("a\xff") == "\"a\xef\xbf\xbd\"");
}
