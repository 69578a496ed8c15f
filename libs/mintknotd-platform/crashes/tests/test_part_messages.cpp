#include "crash_messages.hpp"
#include "part_messages.hpp"

#include <criterion/criterion.h>
#include <nlohmann/json.hpp>

using namespace mintknot;
using namespace mintknot::crashes;

namespace {

template<typename Message> Message round_trip(const Message& value) {
    return std::get<Message>(*decode_part_message(encode(value)));
}

} // namespace

Test(part_messages, messages_survive_the_wire) {
    const auto blocks = round_trip(
        part_block_announcement{{{{"a", "b"}, base::milliseconds(5), 2, 3}}});
    cr_assert(blocks.blocks[0].parts == policy::prompt_parts({"a", "b"}));
    cr_assert(blocks.blocks[0].left == base::milliseconds(5));
    cr_assert(blocks.blocks[0].times == 2 && blocks.blocks[0].crashes == 3);
    const auto query = round_trip(soundness_query{"h", {"a"}});
    cr_assert(query.reply_to == "h" && query.parts.contains("a"));
    const auto reply =
        round_trip(soundness_reply{{{"a", base::milliseconds(7)}}});
    cr_assert(reply.parts[0].ago == base::milliseconds(7));
    cr_assert(round_trip(part_clear_announcement{{"a"}}).parts.contains("a"));
}

Test(part_messages, what_is_malformed_is_refused) {
    const std::string good = encode(soundness_query{"h", {"a"}});
    for (std::size_t length = 0; length < good.size(); ++length)
        cr_assert(!decode_part_message(good.substr(0, length)).ok());
    soundness_query many{"h", {}};
    for (std::size_t i = 0; i <= max_parts; ++i)
        many.parts.insert(std::to_string(i));
    cr_assert(!decode_part_message(encode(many)).ok());
    cr_assert(!decode_part_message(
                   encode(soundness_reply{{{"a", base::milliseconds(-1)}}}))
                   .ok());
    cr_assert(!decode_crash_message(good).ok());
}

Test(part_messages, an_earlier_build_reads_a_report_with_parts) {
    broken_run run{{"d", 2}, base::milliseconds(7), base::milliseconds(9)};
    run.parts = {"a", "b"};
    const std::string datagram = encode(crash_report{"s/0", {run}});
    const auto report = std::get<crash_report>(*decode_crash_message(datagram));
    cr_assert(report.runs[0].parts == run.parts);
    // An earlier build reads the first five elements of a run.
    const auto row = nlohmann::json::from_msgpack(datagram);
    cr_assert(row.at(2).at(0).size() == 6);
    cr_assert(row.at(2).at(0).at(4).is_number_integer());
}
