#include <mintknot/audit/decision_log.hpp>

#include <criterion/criterion.h>

using namespace mintknot;

namespace {

audit::decision about(const std::string& request, const std::string& choice) {
    audit::decision entry;
    entry.request = request;
    entry.choice = choice;
    return entry;
}

} // namespace

Test(decision_log, finds_by_request_in_order) {
    audit::decision_log log(10);
    log.record(about("a", "1"));
    log.record(about("b", "2"));
    log.record(about("a", "3"));
    const auto found = log.find("a");
    cr_assert_eq(found.size(), 2U);
    cr_assert_str_eq(found[0].choice.c_str(), "1");
    cr_assert_str_eq(found[1].choice.c_str(), "3");
    cr_assert(log.find("c").empty());
}

Test(decision_log, stays_within_its_bound) {
    audit::decision_log log(3);
    for (int i = 0; i < 10; ++i)
        log.record(about(std::to_string(i % 2), std::to_string(i)));
    cr_assert_eq(log.size(), 3U);
    cr_assert_eq(log.find("1").size(), 2U);
    cr_assert_str_eq(log.find("1")[1].choice.c_str(), "9");
    cr_assert_eq(log.recent(2).size(), 2U);
    cr_assert_str_eq(log.recent(2)[0].choice.c_str(), "8");
}
