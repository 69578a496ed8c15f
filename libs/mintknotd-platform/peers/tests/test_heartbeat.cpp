#include <mintknot/peers/heartbeat.hpp>

#include <criterion/criterion.h>

using namespace mintknot;
using namespace mintknot::peers;

namespace {

heartbeat full() {
    heartbeat value;
    value.incarnation = 0xffffffffffffffffULL;
    value.sequence = 7;
    value.configuration = 12;
    value.servers = 13;
    value.leaving = true;
    value.data_centre = "a";
    value.usage["s"] = {30, 4};
    value.loads = traffic::load_map{{"i", {2, 100.0, 200.0}}};
    value.warnings.push_back({"j", base::milliseconds(300)});
    value.changes.push_back({"k", base::milliseconds(400)});
    value.waiting["llm"] = 4000.0;
    value.hosts = {"10.0.0.1"};
    return value;
}

} // namespace

Test(heartbeat, survives_the_wire) {
    const auto back = decode(encode(full()));
    cr_assert(back.ok());
    cr_assert(back->incarnation == 0xffffffffffffffffULL);
    cr_assert(back->leaving);
    cr_assert(back->data_centre == "a");
    cr_assert(back->usage.at("s").retries == 4);
    cr_assert(back->loads->at("i").memory_tokens == 200.0);
    cr_assert(back->warnings.at(0).left == base::milliseconds(300));
    cr_assert(back->changes.at(0).server_id == "k");
    cr_assert(back->waiting.at("llm") == 4000.0);
    cr_assert(back->hosts.at(0) == "10.0.0.1");
}

Test(heartbeat, cut_and_spoiled_datagrams_are_refused) {
    const std::string whole = encode(full());
    for (std::size_t length = 0; length < whole.size(); ++length)
        cr_assert(!decode(whole.substr(0, length)).ok());
    for (std::size_t at = 0; at < whole.size(); ++at) {
        std::string spoiled = whole;
        spoiled[at] = static_cast<char>(spoiled[at] ^ 0x55);
        // Must not crash; it may still be well-formed.
        (void)decode(spoiled);
    }
    cr_assert(!decode("\x93\x01\x02\x03").ok());
}

Test(heartbeat, loads_may_be_left_to_schedulers) {
    heartbeat value = full();
    value.loads.reset();
    const auto back = decode(encode(value));
    cr_assert(back.ok());
    cr_assert(!back->loads);
}

Test(heartbeat, other_messages_are_told_apart) {
    cr_assert(is_heartbeat(encode(full())));
    cr_assert(!is_heartbeat(""));
    cr_assert(!is_heartbeat("\x94\x04\x90\x90\x90"));
}
