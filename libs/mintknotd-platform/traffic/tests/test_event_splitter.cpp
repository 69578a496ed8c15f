#include <mintknot/traffic/event_splitter.hpp>

#include <criterion/criterion.h>

#include <ctime>
#include <string>

using namespace mintknot::traffic;

Test(event_splitter, hands_out_whole_events_byte_for_byte) {
    const std::string text = "id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\nda";
    for (std::size_t step = 1; step < text.size(); ++step) {
        event_splitter splitter;
        std::string whole;
        for (std::size_t at = 0; at < text.size(); at += step)
            whole += push(splitter, std::string_view(text).substr(at, step));
        cr_assert(whole == "id: 1\ndata: a\n\nid: 2\ndata: b\n\n");
        cr_assert(splitter.rest == "id: 3\nda");
    }
}

Test(event_splitter, understands_carriage_returns) {
    event_splitter splitter;
    cr_assert(
        push(splitter, "id: 7\r\ndata: a\r\n\r\nid") ==
        "id: 7\r\ndata: a\r\n\r\n");
    cr_assert(splitter.rest == "id");
}

// An endless event was searched from its start for each piece of it.
Test(event_splitter, a_long_event_is_searched_once) {
    constexpr std::size_t pieces = 40000;
    const std::string piece(100, 'x');
    event_splitter splitter;
    const std::clock_t began = std::clock();
    for (std::size_t i = 0; i < pieces; ++i)
        cr_assert(push(splitter, piece).empty());
    cr_assert(push(splitter, "\r\n\r").empty());
    cr_assert(push(splitter, "\n").size() == pieces * piece.size() + 4);
    // Searched anew each time it takes minutes.
    cr_assert(std::clock() - began < 2 * CLOCKS_PER_SEC);
}

Test(event_splitter, finds_the_ids) {
    const std::string events = "id: 4\ndata: id: 9\n\nid:5\ndata: x\n\n";
    cr_assert(last_event_id(events) == 5u);
    cr_assert(!last_event_id("data: x\n\n"));
    cr_assert(!last_event_id("id: abc\n\n"));
}

Test(event_splitter, the_last_bytes_tell_whether_an_event_was_cut) {
    cr_assert(!ends_inside_event(""));
    cr_assert(!ends_inside_event("a\n\n"));
    cr_assert(!ends_inside_event("\r\n\r\n"));
    cr_assert(ends_inside_event("a\n"));
    cr_assert(ends_inside_event("id: "));
}
