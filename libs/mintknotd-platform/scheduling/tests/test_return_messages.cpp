#include <mintknot/scheduling/messages.hpp>
#include <mintknot/scheduling/return_messages.hpp>

#include <criterion/criterion.h>

#include <cmath>

using namespace mintknot;
using namespace mintknot::scheduling;

namespace {

return_request full_request() {
    return_request sent;
    sent.number = 7;
    sent.data_centre = "a";
    sent.refused.service = "llm";
    sent.refused.claim.priority = 0;
    sent.refused.claim.organisation = "school";
    sent.refused.claim.target_left = base::milliseconds(300);
    sent.refused.claim.deadline_left = base::milliseconds(13900);
    sent.refused.claim.digest = 0xfedcba9876543210U;
    sent.refused.claim.caller_retry = true;
    sent.refused.cost = 7850.0;
    sent.refused.earliest = base::milliseconds(400);
    return sent;
}

} // namespace

Test(return_messages, request_round_trip) {
    const auto value = decode_return(encode(full_request()));
    cr_assert(value.ok());
    const auto& got = std::get<return_request>(*value);
    cr_assert(got.number == 7 && got.data_centre == "a");
    cr_assert(got.refused.service == "llm" && got.refused.cost == 7850.0);
    cr_assert(got.refused.earliest == base::milliseconds(400));
    const policy::capacity_claim& claim = got.refused.claim;
    cr_assert(claim.priority == 0 && claim.organisation == "school");
    cr_assert(claim.target_left == base::milliseconds(300));
    cr_assert(claim.deadline_left == base::milliseconds(13900));
    cr_assert(claim.digest == 0xfedcba9876543210U && claim.caller_retry);
}

Test(return_messages, answer_round_trip) {
    const auto value =
        decode_return(encode(return_answer{9, true, base::milliseconds(1200)}));
    cr_assert(value.ok());
    const auto& got = std::get<return_answer>(*value);
    cr_assert(got.number == 9 && got.promised);
    cr_assert(got.retry_after == base::milliseconds(1200));
}

/// Guards against a datagram that ends a process or promises a time that no
/// clock can hold.
Test(return_messages, malformed_datagrams_are_rejected) {
    cr_assert(!decode_return("").ok());
    cr_assert(!decode_return("text").ok());
    const std::string whole = encode(full_request());
    for (std::size_t size = 0; size < whole.size(); ++size)
        cr_assert(!decode_return(whole.substr(0, size)).ok());
    cr_assert(!decode_return("\x92\x17\x07").ok());
    // A float in place of an integer, out of range of any.
    std::string with_float = whole;
    with_float.replace(
        with_float.find("\xcd\x1e\xaa"), 3,
        std::string("\xcb\x7f\xe0\x00\x00\x00\x00\x00\x00", 9));
    cr_assert(!decode_return(with_float).ok());
    const auto far = decode_return(
        encode(return_answer{1, true, base::milliseconds::max()}));
    cr_assert(
        std::get<return_answer>(*far).retry_after <= std::chrono::hours(1));
}

/// Guards against a request of absurd size whose cost no integer holds.
Test(return_messages, costs_are_bounded) {
    for (const double cost : {1e300, double{HUGE_VAL}, -5.0, std::nan("")}) {
        return_request sent = full_request();
        sent.refused.cost = cost;
        const auto value = decode_return(encode(sent));
        cr_assert(value.ok());
        const double got = std::get<return_request>(*value).refused.cost;
        cr_assert(got >= 0.0 && got <= 1e12);
        placement_request asked;
        asked.query.memory_tokens = cost;
        const auto placed = decode(encode(asked));
        cr_assert(placed.ok());
        const double memory =
            std::get<placement_request>(*placed).query.memory_tokens;
        cr_assert(memory >= 0.0 && memory <= 1e12);
    }
}

/// Guards against an instance of an earlier version that takes these datagrams
/// for others: it ignores them, and the sender uses its own rule.
Test(return_messages, other_datagrams_are_told_apart) {
    cr_assert(!decode(encode(full_request())).ok());
    cr_assert(!decode(encode(return_answer{})).ok());
    cr_assert(!decode_return(encode(placement_request{})).ok());
    cr_assert(!decode_return(encode(placement_answer{})).ok());
}
