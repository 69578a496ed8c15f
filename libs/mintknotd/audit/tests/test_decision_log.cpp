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
    cr_assert(found[0].choice == "1");
    cr_assert(found[1].choice == "3");
    cr_assert(log.find("c").empty());
}

Test(decision_log, stays_within_its_bound) {
    audit::decision_log log(3);
    for (int i = 0; i < 10; ++i)
        log.record(about(std::to_string(i % 2), std::to_string(i)));
    cr_assert_eq(log.size(), 3U);
    cr_assert_eq(log.find("1").size(), 2U);
    cr_assert(log.find("1")[1].choice == "9");
    cr_assert_eq(log.recent(2).size(), 2U);
    cr_assert(log.recent(2)[0].choice == "8");
}

Test(decision, survives_a_round_trip) {
    audit::decision value = about("r", "e1");
    value.kind = audit::decision_kind::refusal;
    value.code = base::reason::queue_full;
    value.candidates = {{"e1", 1.5, "full"}};
    value.inputs = {{"load", "7", base::milliseconds{30}}};
    const auto document = audit::to_json(value);
    const auto read = audit::decision_from_json(document.dump());
    cr_assert(audit::to_json(read) == document);
    cr_assert(audit::decision_from_json("garbage").request.empty());
}
