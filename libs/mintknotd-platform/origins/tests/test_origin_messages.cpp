#include "origin_messages.hpp"

#include <criterion/criterion.h>

using namespace mintknot;
using namespace mintknot::origins;

Test(origin_messages, messages_survive_the_wire) {
    const auto notice = decode_origin_message(
        encode(origin_notice{"s", "v1", base::milliseconds(5)}));
    cr_assert(std::get<origin_notice>(*notice).stream == "s");
    cr_assert(std::get<origin_notice>(*notice).version == "v1");
    cr_assert(std::get<origin_notice>(*notice).life == base::milliseconds(5));
    const auto query =
        decode_origin_message(encode(origin_query{1ULL << 63, "s", "llm"}));
    cr_assert(std::get<origin_query>(*query).number == 1ULL << 63);
    cr_assert(std::get<origin_query>(*query).service == "llm");
    const auto reply = decode_origin_message(
        encode(origin_reply{7, "v1", base::milliseconds(9), std::nullopt}));
    cr_assert(std::get<origin_reply>(*reply).version == "v1");
    cr_assert(std::get<origin_reply>(*reply).age == base::milliseconds(9));
    cr_assert(!std::get<origin_reply>(*reply).only_version);
}

Test(origin_messages, what_is_malformed_is_refused) {
    const std::string good =
        encode(origin_notice{"s", "v1", base::milliseconds(5)});
    for (std::size_t length = 0; length < good.size(); ++length)
        cr_assert(!decode_origin_message(good.substr(0, length)).ok());
    const std::string long_text(max_text_bytes + 1, 'x');
    cr_assert(
        !decode_origin_message(encode(origin_query{1, long_text, "llm"})).ok());
    cr_assert(!decode_origin_message(
                   encode(origin_notice{"s", "v1", base::milliseconds(-1)}))
                   .ok());
}
