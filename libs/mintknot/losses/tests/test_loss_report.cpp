#include <mintknot/losses/loss_report.hpp>

#include <criterion/criterion.h>

using namespace mintknot;
using namespace mintknot::losses;

namespace {

loss_ledger small_ledger() {
    loss_ledger ledger;
    ledger.options.window = base::milliseconds(1000);
    ledger.options.weights["big"] = 30.0;
    ledger.requests[{"big", "a", 5, loss_cause::none}] = 9;
    ledger.requests[{"big", "a", 7, loss_cause::no_room}] = 1;
    ledger.requests[{"small", "b", 5, loss_cause::late_at_server}] = 4;
    ledger.first_tries["big"].first_tries = 10;
    return ledger;
}

} // namespace

Test(loss_report, weights_count) {
    const loss_ledger ledger = small_ledger();
    const weight_by_cause all = by_cause(ledger);
    cr_assert(all.at(loss_cause::none) == 270.0);
    cr_assert(all.at(loss_cause::no_room) == 30.0);
    cr_assert(all.at(loss_cause::late_at_server) == 4.0);
    cr_assert(by_route(ledger).at("small").size() == 1);
    cr_assert(by_data_centre(ledger).at("a").size() == 2);
    cr_assert(by_window(ledger).at(7).at(loss_cause::no_room) == 30.0);
}

Test(loss_report, text_and_json_say_the_same) {
    loss_ledger ledger = small_ledger();
    ledger.lines = {20, 1, 3, "foreign"};
    const std::string text = to_text(ledger);
    cr_assert(text.find("no_room") != std::string::npos);
    cr_assert(
        text.find("1 not of an instance, the first: foreign") !=
        std::string::npos);
    cr_assert(text.find("3 left out") != std::string::npos);
    const auto document = to_json(ledger);
    cr_assert(document["all"]["no_room"] == 30.0);
    cr_assert(document["windows"]["7"]["no_room"] == 30.0);
    cr_assert(document["first_tries"]["big"]["first_tries"] == 10);
    cr_assert(document["lines"]["foreign"] == 1);
}

Test(loss_report, the_plot_has_a_bar_for_each_loss) {
    const std::string svg = to_plot(small_ledger());
    std::size_t bars = 0;
    for (std::size_t at = svg.find("<rect"); at != std::string::npos;
         at = svg.find("<rect", at + 1))
        ++bars;
    // Two losses and two entries of the legend.
    cr_assert(bars == 4);
    cr_assert(svg.rfind("</svg>") != std::string::npos);
}

Test(loss_report, nothing_read_is_no_error) {
    cr_assert(!to_text({}).empty());
    cr_assert(to_plot({}).find("</svg>") != std::string::npos);
}
