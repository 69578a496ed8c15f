#include <mintknot/losses/caller_report.hpp>
#include <mintknot/losses/loss_report.hpp>

#include <criterion/criterion.h>
#include <fmt/format.h>

using namespace mintknot;
using namespace mintknot::losses;

namespace {

caller_try try_of(const std::string& organisation, try_result result) {
    caller_try ended;
    ended.route = "r";
    ended.priority = "2";
    ended.organisation = organisation;
    ended.instance = "i";
    ended.result = result;
    return ended;
}

loss_ledger small_ledger() {
    loss_ledger ledger;
    ledger.data_centres["i"] = "a";
    note_try(ledger.callers, try_of("o<&>", try_result::answered));
    note_try(ledger.callers, try_of("p", try_result::refused));
    note_try(ledger.callers, try_of("p", try_result::failed));
    close_account(ledger);
    return ledger;
}

std::size_t occurrences(const std::string& text, const std::string& part) {
    std::size_t count = 0;
    for (std::size_t at = text.find(part); at != std::string::npos;
         at = text.find(part, at + 1))
        ++count;
    return count;
}

} // namespace

Test(caller_report, json_has_all_counts_beside_the_earlier_fields) {
    const auto document = to_json(small_ledger());
    for (const char* field :
         {"lines", "window_ms", "all", "routes", "data_centres", "windows",
          "first_tries", "organisations", "tokens_read_again"})
        cr_assert(document.contains(field), "%s", field);
    const auto& callers = document["callers"];
    cr_assert(callers["all"]["callers"] == 3);
    cr_assert(callers["routes"]["r"]["in_target"] == 1);
    cr_assert(callers["priorities"]["2"]["refused_once"] == 1);
    cr_assert(callers["organisations"]["p"]["failed"] == 1);
    cr_assert(callers["data_centres"]["a"]["callers"] == 3);
    cr_assert(callers["returns_without_first_try"] == 0);
}

Test(caller_report, text_has_a_row_for_each_group) {
    const std::string text = to_text(small_ledger());
    for (const char* row :
         {"  all ", "route r ", "priority 2 ", "data centre a ",
          "organisation p ", "33.33%"})
        cr_assert(text.find(row) != std::string::npos, "%s", row);
}

Test(caller_report, incomplete_counts_are_said_so) {
    loss_ledger ledger = small_ledger();
    ledger.callers.returns_without_first_try = 4;
    ledger.callers.linked_early = 5;
    const std::string text = callers_text(ledger);
    cr_assert(text.find("4 tries of callers") != std::string::npos);
    cr_assert(text.find("5 tries were counted") != std::string::npos);
}

// Guards against a table of 43,000 rows that hides the worst ones.
Test(caller_report, the_worst_organisations_are_shown) {
    loss_ledger ledger;
    for (int i = 0; i < 100; ++i)
        note_try(
            ledger.callers,
            try_of(fmt::format("o{:02}", i), try_result::answered));
    note_try(ledger.callers, try_of("o77", try_result::refused));
    const std::string text = callers_text(ledger);
    cr_assert(occurrences(text, "organisation ") == 20);
    cr_assert(text.find("organisation o77 ") != std::string::npos);
    cr_assert(callers_json(ledger)["organisations"].size() == 100);
}

// Guards against an image that no viewer opens.
Test(caller_report, the_plot_has_bars_and_escaped_names) {
    const std::string svg = to_caller_plot(small_ledger());
    cr_assert(svg.find("o&lt;&amp;&gt;") != std::string::npos);
    cr_assert(svg.find("o<") == std::string::npos);
    // Five of the legend; all, route, priority and data centre have three
    // parts each, the organisations one and two.
    cr_assert(occurrences(svg, "<rect") == 5 + 4 * 3 + 1 + 2);
    cr_assert(svg.ends_with("</svg>\n"));
    cr_assert(to_caller_plot({}).ends_with("</svg>\n"));
}
