#include <mintknot/entry/request_registry.hpp>

#include <criterion/criterion.h>

#include <thread>

using namespace mintknot;
using namespace mintknot::entry;

namespace {

completion_call
call_of(const std::string& organisation, const std::string& key = {}) {
    completion_call call;
    call.id = base::make_request_id({"dc1", "e1", 7});
    call.organisation = organisation;
    call.idempotency_key = key;
    return call;
}

} // namespace

Test(request_registry, limits_are_refusals_that_have_not_run) {
    request_registry registry({3, base::milliseconds{0}});
    cr_assert(static_cast<bool>(registry.add(call_of("a"), 2)));
    const auto second = registry.add(call_of("a"), 2);
    const auto third = registry.add(call_of("a"), 2);
    cr_assert(third.error().code == base::reason::organisation_limit);
    cr_assert(third.error().run == base::verdict::not_run);
    cr_assert(static_cast<bool>(registry.add(call_of("b"), 2)));
    cr_assert(
        registry.add(call_of("c"), 2).error().code ==
        base::reason::too_many_open_requests);
    registry.note_ended(**second);
    cr_assert(static_cast<bool>(registry.add(call_of("a"), 2)));
    cr_assert_eq(registry.open(), 3U);
}

Test(request_registry, a_key_joins_within_its_organisation_only) {
    request_registry registry({10, base::milliseconds{0}});
    const auto first = registry.add(call_of("a", "k"), 9);
    const auto same = registry.add(call_of("a", "k"), 9);
    const auto other = registry.add(call_of("b", "k"), 9);
    cr_assert(*first == *same);
    cr_assert(*first != *other);
    cr_assert_eq(registry.open(), 2U);
}

Test(request_registry, knows_the_attempts_of_running_requests) {
    request_registry registry({10, base::milliseconds{0}});
    const auto request = *registry.add(call_of("a"), 9);
    cr_assert(registry.knows_attempt(request->id() + ".1d"));
    cr_assert(!registry.knows_attempt("dc1.e1.7.0000000000000000.1d"));
    request->fail({});
    cr_assert(!registry.knows_attempt(request->id() + ".1d"));
}

Test(request_registry, sweeps_what_nobody_reads) {
    request_registry registry({10, base::milliseconds{0}});
    const auto unread = *registry.add(call_of("a"), 9);
    const auto read = *registry.add(call_of("a"), 9);
    read->add_reader();
    while (unread->unread_for().count() == 0)
        std::this_thread::yield();
    registry.sweep();
    cr_assert(unread->cancelled() == base::reason::caller_gone);
    cr_assert(read->cancelled() == base::reason::none);
    unread->fail({});
    registry.sweep();
    cr_assert(registry.find(unread->id()) == nullptr);
    cr_assert(registry.find(read->id()) != nullptr);
}
