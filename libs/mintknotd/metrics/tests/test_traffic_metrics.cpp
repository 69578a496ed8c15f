#include <mintknot/metrics/traffic_metrics.hpp>

#include <criterion/criterion.h>

using namespace mintknot;

namespace {

std::size_t count(const std::string& text, const std::string& part) {
    std::size_t found = 0;
    for (auto at = text.find(part); at != std::string::npos;
         at = text.find(part, at + 1))
        ++found;
    return found;
}

} // namespace

Test(traffic_metrics, counts_by_class) {
    metrics::traffic_metrics values(10);
    values.add({.request_class = "quote", .tokens = 5, .met_targets = true});
    const auto text = values.text();
    cr_assert(
        text.find("mintknot_goodput_total{class=\"quote\"} 1") !=
        std::string::npos);
    cr_assert(
        text.find("mintknot_tokens_total{class=\"quote\"} 5") !=
        std::string::npos);
}

Test(traffic_metrics, organisations_are_bounded) {
    metrics::traffic_metrics values(3);
    for (int i = 0; i < 1000; ++i)
        values.add(
            {.request_class = "c",
             .organisation = "o" + std::to_string(i),
             .first_token = base::microseconds{1000}});
    const auto text = values.text();
    cr_assert_eq(
        count(text, "mintknot_first_token_seconds_count{organisation="), 4U);
    cr_assert(
        text.find("first_token_seconds_count{organisation=\"other\"} 997") !=
        std::string::npos);
}
