/// @file
/// Placement beside the capacity that is kept for promised returns.

#include "engine_pool_simulation.hpp"

#include <mintknot/policy/domain_admission.hpp>

#include <criterion/criterion.h>

#include <cmath>

using namespace mintknot;
using namespace mintknot::policy;
using namespace mintknot::policy::tests;
using base::milliseconds;

namespace {

constexpr double memory = 10000.0;
constexpr base::steady_time start = base::steady_time{} + std::chrono::hours(1);

placement_query query_of(std::uint64_t digest, double tokens) {
    placement_query query;
    query.service = "llm";
    query.kind = placement_kind::decode;
    query.memory_tokens = tokens;
    query.claim.emplace();
    query.claim->digest = digest;
    query.claim->deadline_left = milliseconds(30000);
    return query;
}

/// Full engines in one domain, with one return promised.
struct promised_fixture {
    explicit promised_fixture(int engines)
        : pool(engines, 1, memory, milliseconds{3000}) {
        for (int i = 0; i < engines; ++i)
            pool.reserve(
                "e" + std::to_string(i), 9000.0, start + milliseconds(3900));
        const return_decision told = plan_return(
            state, pool.inputs("", start), query_of(1, 5000.0),
            milliseconds(0));
        cr_assert(told.kind == return_kind::promised);
        due = start + told.retry_after;
        pool.advance(due);
    }

    placement place(const placement_query& query) {
        placement placed = place_claim(state, pool.inputs("", due), query);
        if (!placed.server.empty())
            pool.reserve(
                placed.server, query.memory_tokens, due + milliseconds(3000));
        return placed;
    }

    engine_pool pool;
    domain_admission_state state;
    base::steady_time due;
};

} // namespace

/// Guards against a request that fits on no engine, which got the earliest time
/// and moved those of all others by years.
Test(domain_admission, a_request_that_never_fits_is_refused_for_good) {
    for (const double tokens :
         {9701.0, 1e12, 1e300, double{HUGE_VAL}, std::nan("")}) {
        engine_pool pool(2, 1, memory, milliseconds{3000});
        pool.reserve("e0", 9000.0, start + milliseconds(3000));
        domain_admission_state state;
        const return_decision seen = plan_return(
            state, pool.inputs("", start), query_of(1, tokens),
            milliseconds(0));
        cr_assert(seen.kind == return_kind::refused, "%g", tokens);
        cr_assert(seen.retry_after == milliseconds(30000));
        cr_assert(state.returns.promises.empty());
        cr_assert(state.returns.next_of_all == base::steady_time{});
    }
}

/// Guards against a denial that does not say why.
Test(domain_admission, a_kept_engine_is_denied_as_reserved_for_returns) {
    promised_fixture f(1);
    const placement other = f.place(query_of(2, 9000.0));
    cr_assert(other.server.empty());
    cr_assert(other.denial == capacity_denial::reserved_for_returns);
    cr_assert(f.place(query_of(1, 5000.0)).server == "e0");
    cr_assert(f.state.returns.served == 1);
    const placement none = f.place(query_of(3, 9000.0));
    cr_assert(none.denial == capacity_denial::no_capacity);
}

/// Guards against a caller that is denied the capacity that is kept for it.
Test(domain_admission, a_caller_that_returns_at_its_time_is_placed) {
    promised_fixture f(1);
    cr_assert(f.place(query_of(1, 5000.0)).server == "e0");
    cr_assert(f.state.returns.served == 1);
}

/// Guards against a first try that is denied an engine that it tried before,
/// although no engine is kept from it.
Test(domain_admission, tried_engines_are_used_again_beside_kept_ones) {
    promised_fixture f(2);
    placement_query again = query_of(2, 3000.0);
    again.excluded = {"e0", "e1"};
    again.may_reuse_excluded = true;
    cr_assert(!f.place(again).server.empty());
    again.may_reuse_excluded = false;
    cr_assert(f.place(again).server.empty());
}

/// Guards against a return that is assigned an engine that cannot take it.
Test(domain_admission, returns_are_kept_engines_that_take_requests) {
    for (const bool rests : {true, false}) {
        promised_fixture f(2);
        f.pool.reserve("e1", 1000.0, f.due + milliseconds(3000));
        if (rests)
            f.pool.rest("e0", f.due + milliseconds(3000));
        else
            for (int i = 0; i < 64; ++i)
                f.pool.reserve("e0", 1.0, f.due + milliseconds(3000));
        const placement other = f.place(query_of(2, 6000.0));
        cr_assert(other.denial == capacity_denial::reserved_for_returns);
        cr_assert(f.place(query_of(1, 5000.0)).server == "e1");
    }
}

/// Guards against avoided engines that are used because others are kept.
Test(domain_admission, avoided_engines_do_not_replace_kept_ones) {
    promised_fixture f(2);
    f.pool.avoid("e1", f.due + milliseconds(3000));
    const placement other = f.place(query_of(2, 9000.0));
    cr_assert(other.denial == capacity_denial::reserved_for_returns);
}
