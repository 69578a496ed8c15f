#include <mintknot/engine/event_lines.hpp>

#include <criterion/criterion.h>

using namespace mintknot::engine;

Test(event_lines, survive_a_round_trip) {
    decode_event token;
    token.offset = 7;
    token.text = " \"quoted\"\n";
    auto line = to_line(token);
    cr_assert_eq(line.back(), '\n');
    line.pop_back();
    cr_assert(line.find('\n') == std::string::npos);
    const auto parsed = parse_line(line);
    cr_assert(parsed.has_value());
    cr_assert_eq(parsed->offset, 7U);
    cr_assert_str_eq(parsed->text.c_str(), token.text.c_str());
}

Test(event_lines, other_lines_are_no_events) {
    for (const char* line : {"", "{", "[]", "{\"event\":\"new\"}"})
        cr_assert(!parse_line(line).has_value(), "%s", line);
}

Test(event_lines, pieces_may_end_anywhere) {
    line_splitter lines;
    lines.add("ab");
    cr_assert(!lines.next().has_value());
    lines.add("c\nde\nf");
    cr_assert(lines.next() == "abc");
    cr_assert(lines.next() == "de");
    cr_assert(!lines.next().has_value());
    lines.add("\n");
    cr_assert(lines.next() == "f");
}
