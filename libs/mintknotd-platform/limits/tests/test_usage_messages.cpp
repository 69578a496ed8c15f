#include "usage_messages.hpp"

#include <criterion/criterion.h>
#include <nlohmann/json.hpp>

using namespace mintknot;
using namespace mintknot::limits;

namespace {

template<typename Message> Message read(const usage_message& value) {
    const auto decoded = decode_usage(encode(value));
    cr_assert(decoded.ok());
    return std::get<Message>(*decoded);
}

std::string packed(const char* text) {
    const auto bytes = nlohmann::json::to_msgpack(nlohmann::json::parse(text));
    return {bytes.begin(), bytes.end()};
}

} // namespace

Test(usage_messages, round_trip) {
    const auto question = read<usage_request>(
        usage_request{7, "o", 5273.0, account_kind::deputy});
    cr_assert(question.number == 7 && question.organisation == "o");
    cr_assert(question.cost == 5273.0);
    cr_assert(question.account == account_kind::deputy);
    const auto answer = read<usage_answer>(
        usage_answer{8, usage_verdict::refused, base::milliseconds{40}});
    cr_assert(answer.number == 8);
    cr_assert(answer.verdict == usage_verdict::refused);
    cr_assert(answer.retry_after == base::milliseconds{40});
    const auto charge = read<usage_charge>(usage_charge{"o", 5300.0});
    cr_assert(charge.organisation == "o" && charge.cost == 5300.0);
    const auto back =
        read<usage_refund>(usage_refund{9, "o", 200.0, account_kind::keeper});
    cr_assert(back.number == 9 && back.cost == 200.0);
}

Test(usage_messages, request_takes_at_most_40_bytes) {
    const std::string question = encode(usage_request{
        ~std::uint64_t{0}, "hule930", 11180.0, account_kind::keeper});
    cr_assert(question.size() <= 40, "%zu bytes", question.size());
}

Test(usage_messages, malformed_messages_are_rejected) {
    for (const char* text :
         {"[8]", "[8,1,\"o\"]", "[8,1,\"o\",-5,0]", "[8,1,\"o\",5,2]",
          "[8,1,\"o\",5,-1]", "[8,\"x\",\"o\",5,0]", "[9,1,3,0]", "[9,1]",
          "[10,1,\"o\",-1,0]", "[11,1]", "[11,\"o\",-1]", "[12,1]", "[7,1]",
          "{}", "8"})
        cr_assert(!decode_usage(packed(text)).ok(), "%s", text);
    cr_assert(!decode_usage("").ok());
    const std::string whole =
        encode(usage_request{1, "o", 5.0, account_kind::keeper});
    for (std::size_t length = 0; length < whole.size(); ++length)
        cr_assert(!decode_usage(whole.substr(0, length)).ok());
}
