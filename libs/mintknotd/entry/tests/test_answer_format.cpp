#include <mintknot/entry/answer_format.hpp>

#include <criterion/criterion.h>
#include <nlohmann/json.hpp>

using namespace mintknot;
using namespace mintknot::entry;

namespace {

const answer_head head{"dc1.e1.7.0123456789abcdef", "m1"};

/// @return the JSON of the first data line.
nlohmann::json data_of(const std::string& events) {
    const auto begin = events.find("data: ") + 6;
    return nlohmann::json::parse(
        events.substr(begin, events.find('\n', begin) - begin));
}

} // namespace

Test(answer_format, event_ids_count_tokens) {
    const auto event = token_event(head, 4, " \"word\"\n");
    cr_assert(event.starts_with("id: 5\ndata: {"));
    cr_assert(event.ends_with("}\n\n"));
    cr_assert(data_of(event)["choices"][0]["text"] == " \"word\"\n");
    cr_assert(data_of(event)["choices"][0]["finish_reason"].is_null());
}

Test(answer_format, a_stream_ends_in_done_or_in_an_error_with_a_verdict) {
    const auto end = end_events(head, engine::finish_reason::length);
    cr_assert(end.ends_with("data: [DONE]\n\n"));
    cr_assert(data_of(end)["choices"][0]["finish_reason"] == "length");
    const auto error = error_event(
        head, {base::reason::engine_failed, "x", base::verdict::may_have_run});
    cr_assert(error.starts_with("event: error\n"));
    cr_assert(data_of(error)["error"]["verdict"] == "may_have_run");
}

Test(answer_format, a_whole_answer_counts_its_tokens) {
    const auto answer = nlohmann::json::parse(
        whole_answer(head, {"a", "b"}, 7, engine::finish_reason::stop));
    cr_assert(answer["choices"][0]["text"] == "ab");
    cr_assert_eq(answer["usage"]["total_tokens"].get<int>(), 9);
}

Test(answer_format, texts_that_are_no_utf8_do_not_break_an_answer) {
    const auto event = token_event(head, 0, "\xff\xfe");
    cr_assert(data_of(event).is_object());
}
