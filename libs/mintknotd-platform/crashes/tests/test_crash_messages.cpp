#include "crash_messages.hpp"

#include <criterion/criterion.h>

using namespace mintknot;
using namespace mintknot::crashes;

Test(crash_messages, report_round_trip) {
    const crash_report sent{
        "s1/7",
        {{{"d1", 10}, base::milliseconds(60), base::milliseconds(9)},
         {{"d2", 0}, {}, {}, policy::server_liveness::doubtful}}};
    const auto seen = decode_crash_message(encode(sent));
    cr_assert(seen.ok());
    const auto& report = std::get<crash_report>(*seen);
    cr_assert(report.server_incarnation == "s1/7");
    cr_assert(report.runs.size() == 2);
    cr_assert(report.runs[0].key.digest == "d1");
    cr_assert(report.runs[0].key.body_bytes == 10);
    cr_assert(report.runs[0].ran_for == base::milliseconds(60));
    cr_assert(report.runs[0].ago == base::milliseconds(9));
    cr_assert(report.runs[0].liveness == policy::server_liveness::assumed);
    cr_assert(report.runs[1].liveness == policy::server_liveness::doubtful);
}

Test(crash_messages, announcements_round_trip) {
    const auto blocks = decode_crash_message(
        encode(block_announcement{{{{"d1", 10}, base::milliseconds(5), 2}}}));
    cr_assert(blocks.ok());
    const policy::block_entry& block =
        std::get<block_announcement>(*blocks).blocks.at(0);
    cr_assert(block.key.digest == "d1");
    cr_assert(block.left == base::milliseconds(5));
    cr_assert(block.times == 2);
    const auto clearing =
        decode_crash_message(encode(clear_announcement{"d1"}));
    cr_assert(clearing.ok());
    cr_assert(std::get<clear_announcement>(*clearing).digest == "d1");
}

Test(crash_messages, malformed_messages_are_rejected) {
    const std::string good = encode(clear_announcement{"d1"});
    for (const std::string& bad :
         {std::string(), std::string("x"), good.substr(0, good.size() - 1),
          std::string("\x92\x10\x01"), std::string("\x92\x11\x91\x01")})
        cr_assert(!decode_crash_message(bad).ok());
    block_announcement many;
    many.blocks.resize(max_entries + 1);
    cr_assert(!decode_crash_message(encode(many)).ok());
}
