#include "crash_messages.hpp"
#include "demand_report.hpp"
#include "document_mutator.hpp"
#include "draw_settings.hpp"
#include "limit_messages.hpp"
#include "loan_messages.hpp"
#include "origin_messages.hpp"
#include "overload_sharing.hpp"
#include "part_messages.hpp"
#include "usage_messages.hpp"

#include <mintknot/base/datagram.hpp>
#include <mintknot/peers/heartbeat.hpp>
#include <mintknot/peers/roster.hpp>
#include <mintknot/scheduling/messages.hpp>
#include <mintknot/state/change_message.hpp>

#include <criterion/criterion.h>

#include <string_view>
#include <vector>

using namespace mintknot;
using nlohmann::json;

namespace {

constexpr int usual_draws_of_a_message = 500;

/// Reads a message and, where it is one, writes it again.
/// @return true if it is one.
using reader = bool (*)(std::string_view);

/// Found by name, as its argument is a map of the standard library.
using orders::encode;

template<auto decode> bool read(std::string_view bytes) {
    const auto message = decode(bytes);
    if (message.ok())
        encode(*message);
    return message.ok();
}

bool read_change(std::string_view bytes) {
    const base::steady_time now = base::steady_clock::now();
    const auto answer = state::store_answer_from(bytes, now);
    if (answer.ok())
        state::to_body(*answer, now);
    return answer.ok();
}

struct sample {
    const char* text; ///< Of a valid message.
    reader read;
};

const std::vector<sample>& samples() {
    using scheduling::decode;
    static const std::vector<sample> all = {
        {R"([1,7,3,5,5,false,"a",[["app",5,1]],[["s",2,100,2000,[10,9,8]]],
             [["s",250]],[["t",0]],[["llm",300]],["127.0.0.1"]])",
         read<peers::decode>},
        {R"([2,7,"a","llm",2,100,200,50,true,["s","version:v1"],["t"],"b",true,
             ["u"],[1,"org",100,200,77,3],[9,8,7,6]])",
         read<decode>},
        {R"([3,7,true,"s","t",10,3,1,900,[50,2000],
             [["s",4,"llm","10.0.0.1",80,"a",64,2,1700,"v1"]],[1,40,2,30,9],
             [1000,20,30]])",
         read<decode>},
        {R"([4,[["s",2,100,2000]],[["t",20]],[["s",1500]],[["s",3,0,1]],
             [["s",3,40,5]]])",
         read<decode>},
        {R"([5,7,"app",3])", read<runtime::decode_loan>},
        {R"([6,7,2])", read<runtime::decode_loan>},
        {R"([7,[["llm",1.5,2,3,4,5,6,7]]])", read<orders::decode_demand>},
        {R"([8,7,"org",50,0])", read<limits::decode_usage>},
        {R"([9,7,0,20])", read<limits::decode_usage>},
        {R"([10,7,"org",50,1])", read<limits::decode_usage>},
        {R"([11,"org",50])", read<limits::decode_usage>},
        {R"([12,"a",4,false,99])", read<peers::decode_roster_message>},
        {R"([13,99,500,[["a",[["h",4]]]],[["b",[["i",2]]]],30])",
         read<peers::decode_roster_message>},
        {R"([14,99,500,30])", read<peers::decode_roster_message>},
        {R"([15,"a",4,30])", read<peers::decode_roster_message>},
        {R"([16,"s",[["d",10,20,30,1,["p"]]]])",
         read<crashes::decode_crash_message>},
        {R"([17,[["d",10,20,1]]])", read<crashes::decode_crash_message>},
        {R"([18,"d"])", read<crashes::decode_crash_message>},
        {R"([19,"s",2.5,30])", read<runtime::decode_limit>},
        {R"([20,"s"])", read<runtime::decode_limit>},
        {R"([21,"s"])", read<runtime::decode_limit>},
        {R"([22,"r1","v1",500])", read<origins::decode_origin_message>},
        {R"([23,7,"r1","llm"])", read<origins::decode_origin_message>},
        {R"([24,7,"v1",20,null])", read<origins::decode_origin_message>},
        {R"([25,[[["p"],20,1,5]]])", read<crashes::decode_part_message>},
        {R"([26,"h",["p"]])", read<crashes::decode_part_message>},
        {R"([27,[["p",20]]])", read<crashes::decode_part_message>},
        {R"([28,["p"]])", read<crashes::decode_part_message>},
        {R"([29,2500])", read<runtime::decode_overload_notice>},
        {R"({"version":7,"documents":[{"key":"k","version":6,"text":"{}"}],
             "closures":[{"key":"a","version":5,"text":""}],
             "confirmed_ms":-20})",
         read_change}};
    return all;
}

} // namespace

Test(peer_messages, the_samples_are_valid) {
    for (const sample& each : samples())
        cr_assert(
            each.read(base::encode_datagram(json::parse(each.text))), "%s",
            each.text);
}

// Any sender could end a process, by a number, a size or the depth of a
// message.
Test(peer_messages, no_message_ends_the_process_that_reads_it) {
    fuzz::document_mutator mutator(fuzz::seed());
    const int draws = fuzz::draws(usual_draws_of_a_message);
    int taken = 0;
    for (const sample& each : samples())
        for (int i = 0; i < draws; ++i)
            taken +=
                each.read(mutator.draw_message(json::parse(each.text))) ? 1 : 0;
    cr_assert(taken > 0);
}

// 64 KB of nested arrays, which a datagram holds, overflowed the stack.
Test(peer_messages, depth_does_not_end_the_process_that_reads_a_message) {
    for (const sample& each : samples())
        for (const std::size_t depth : {65'000, 10'000'000}) {
            const std::string start =
                base::encode_datagram(json::parse(each.text)).substr(0, 2);
            cr_assert(!each.read(start + std::string(depth, '\x91')));
        }
}
