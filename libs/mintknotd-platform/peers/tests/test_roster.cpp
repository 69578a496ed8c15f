#include <mintknot/peers/heartbeat.hpp>
#include <mintknot/peers/roster.hpp>

#include <criterion/criterion.h>

using namespace mintknot::peers;

namespace {

template<typename Message> Message round_trip(const Message& value) {
    const auto told = decode_roster_message(encode(value));
    cr_assert(told.ok());
    cr_assert(std::holds_alternative<Message>(*told));
    return std::get<Message>(*told);
}

roster example() {
    roster value;
    value.instances = 986;
    value.super_peers = {{"h1", "a", 9}, {"h2", "a", 6}, {"h3", "b", 9}};
    value.successors = {{"h4", "a", 6}};
    value.revision = revision_of(value);
    return value;
}

} // namespace

Test(roster, every_message_comes_back) {
    const join_request join = round_trip(join_request{"a", 9, true, 77});
    cr_assert(join.data_centre == "a" && join.capacity == 9);
    cr_assert(join.leaving && join.known == 77);
    const roster told = round_trip(example());
    cr_assert(told.super_peers == example().super_peers);
    cr_assert(told.successors == example().successors);
    cr_assert(told.instances == 986);
    cr_assert(told.revision == example().revision);
    cr_assert(round_trip(roster_confirmation{5, 6, {}}).revision == 5);
    cr_assert(round_trip(super_peer_claim{"a", 9, 197}).members == 197);
}

Test(roster, a_roster_of_fifteen_data_centres_fits_into_a_datagram) {
    roster value;
    for (int i = 0; i < 60; ++i)
        value.super_peers.push_back(
            {"10.100.200." + std::to_string(100 + i),
             "data-centre-" + std::to_string(i % 15), 9});
    for (int i = 0; i < 24; ++i)
        value.successors.push_back(
            {"10.100.201." + std::to_string(100 + i), "data-centre-1", 6});
    cr_assert(encode(value).size() < 1900);
}

Test(roster, the_revision_tells_contents_apart_but_not_counts) {
    roster other = example();
    other.instances = 1;
    cr_assert(revision_of(other) == revision_of(example()));
    other.super_peers.pop_back();
    cr_assert(revision_of(other) != revision_of(example()));
}

Test(roster, members_of_a_data_centre_come_by_rank) {
    const auto near = members_in(example(), "a");
    cr_assert(near.size() == 3);
    cr_assert(near[0].host == "h1" && near[2].host == "h4");
}

Test(roster, malformed_datagrams_are_errors) {
    const std::string good = encode(example());
    for (std::size_t length = 0; length < good.size(); ++length)
        cr_assert(!decode_roster_message(good.substr(0, length)).ok());
    std::string wrong_type = encode(join_request{"a", 9, false, 7});
    wrong_type[2] = '\x05'; // A number in place of the data centre's name.
    cr_assert(!decode_roster_message(wrong_type).ok());
    cr_assert(!decode_roster_message(encode(heartbeat{})).ok());
}
