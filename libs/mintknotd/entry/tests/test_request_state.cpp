#include <mintknot/entry/request_state.hpp>

#include <criterion/criterion.h>

using namespace mintknot;
using namespace mintknot::entry;

namespace {

const base::steady_time now = base::steady_time{} + std::chrono::hours(1);

request_state decoding(const std::string& attempt) {
    request_state state;
    begin_attempt(state, attempt);
    enter(state, request_phase::decoding, base::verdict::may_have_run);
    return state;
}

} // namespace

Test(request_state, late_doubled_and_reordered_tokens_have_no_effect) {
    auto state = decoding("a.1");
    cr_assert(accept_token(state, "a.1", 0, "x", now));
    cr_assert(!accept_token(state, "a.1", 0, "x", now));
    cr_assert(!accept_token(state, "a.1", 2, "z", now));
    begin_attempt(state, "a.2");
    cr_assert(!accept_token(state, "a.1", 1, "late", now));
    cr_assert(accept_token(state, "a.2", 1, "y", now));
    cr_assert(state.tokens == std::vector<std::string>({"x", "y"}));
}

Test(request_state, ends_once) {
    auto state = decoding("a.1");
    cr_assert(!complete(state, "a.0", engine::finish_reason::stop, now));
    cr_assert(complete(state, "a.1", engine::finish_reason::stop, now));
    cr_assert(!complete(state, "a.1", engine::finish_reason::stop, now));
    cr_assert(!fail(state, {}, now));
    cr_assert(!accept_token(state, "a.1", 0, "x", now));
    cr_assert(state.run == base::verdict::ran);
}

Test(request_state, a_verdict_is_never_lowered) {
    auto state = decoding("a.1");
    begin_attempt(state, "a.2");
    enter(state, request_phase::prefilling, base::verdict::not_run);
    cr_assert(fail(
        state, {base::reason::no_engine, "none", base::verdict::not_run}, now));
    cr_assert(state.failed->run == base::verdict::may_have_run);
}
