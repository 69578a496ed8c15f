#include "soak_checks.hpp"

#include <criterion/criterion.h>

using namespace mintknot::soak;

namespace {

caller_record answered(request_kind kind) {
    caller_record record;
    record.id = "r1";
    record.kind = kind;
    record.status = 200;
    record.whole = true;
    record.body = expected_body(record);
    return record;
}

} // namespace

Test(soak_checks, a_proper_answer_breaks_nothing) {
    for (const auto kind :
         {request_kind::safe, request_kind::unsafe, request_kind::stream,
          request_kind::resumable})
        cr_assert(broken_promises({answered(kind)}, {{"r1", 1}}).empty());
}

Test(soak_checks, every_promise_can_be_broken) {
    cr_assert(
        broken_promises({answered(request_kind::unsafe)}, {{"r1", 2}}).size() ==
        1);
    cr_assert(
        broken_promises({answered(request_kind::safe)}, {{"r1", 3}}).size() ==
        1);
    cr_assert(broken_promises({answered(request_kind::safe)}, {}).size() == 1);
    caller_record other = answered(request_kind::stream);
    other.body = "x";
    cr_assert(broken_promises({other}, {{"r1", 1}}).size() == 2);
    caller_record cut = answered(request_kind::stream);
    cut.body.pop_back();
    cr_assert(broken_promises({cut}, {{"r1", 1}}).size() == 1);
    cut.whole = false;
    cr_assert(broken_promises({cut}, {{"r1", 1}}).empty());
    caller_record refused;
    refused.id = "r1";
    refused.kind = request_kind::unsafe;
    refused.status = 503;
    refused.retry_after = true;
    cr_assert(broken_promises({refused}, {{"r1", 1}}).size() == 1);
    cr_assert(broken_promises({refused}, {}).empty());
    refused.retry_after = false;
    cr_assert(broken_promises({refused}, {}).size() == 1);
}
