#include <mintknot/policy/caller_memory.hpp>

#include <criterion/criterion.h>

#include <vector>

using namespace mintknot;
using namespace mintknot::policy;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr std::size_t kibibyte = 1024;
constexpr std::size_t mebibyte = 1024 * kibibyte;
constexpr base::steady_time start{seconds(100)};

/// What an instance holds while clients send bodies, a piece each in turn.
struct crowd_play {
    struct client {
        held_connection held;
        bool open = true;
    };

    std::size_t all() const {
        std::size_t sum = 0;
        for (const client& at : clients)
            sum += at.held.held_bytes;
        return sum;
    }

    void end(client& at) {
        at.open = false;
        at.held = {};
    }

    bool fits(const client& at) const {
        return has_room(at.held.held_bytes, all(), max_bytes);
    }

    /// @return false if nobody but the client itself is stalled.
    bool end_stalled(const client& excepted) {
        std::vector<held_connection> held;
        for (const client& at : clients)
            held.push_back(&at == &excepted ? held_connection{} : at.held);
        const auto chosen = choose_to_give_way(held, now);
        if (chosen)
            end(clients[*chosen]);
        return chosen.has_value();
    }

    void push(std::size_t index, std::size_t piece) {
        client& at = clients[index];
        if (!at.open)
            return;
        at.held.held_bytes += piece;
        note_transfer(at.held.progress, piece, now);
        while (!fits(at) && end_stalled(at)) {
        }
        if (!fits(at))
            end(at);
    }

    std::size_t max_bytes = 16 * mebibyte;
    base::steady_time now = start;
    std::vector<client> clients;
};

} // namespace

// Bodies were counted once they were whole: many unfinished ones had no bound.
Test(caller_memory, unfinished_bodies_stay_within_the_bound) {
    crowd_play play;
    play.clients.resize(200);
    for (int round = 0; round < 64; ++round) {
        for (std::size_t i = 0; i < play.clients.size(); ++i) {
            play.push(i, 64 * kibibyte);
            cr_assert(play.all() <= play.max_bytes);
        }
        play.now += milliseconds(10);
    }
}

// The small request of an ordinary caller was refused in their favour.
Test(caller_memory, small_requests_have_room_beside_large_ones) {
    crowd_play play;
    play.clients.resize(101);
    for (int round = 0; round < 64; ++round)
        for (std::size_t i = 0; i < 100; ++i)
            play.push(i, 64 * kibibyte);
    play.push(100, 2 * kibibyte);
    cr_assert(play.clients[100].open);
}

Test(caller_memory, bodies_that_do_not_come_to_an_end_give_way_to_others) {
    crowd_play play;
    play.clients.resize(4);
    for (int round = 0; round < 60; ++round)
        for (std::size_t i = 0; i < 3; ++i)
            play.push(i, 64 * kibibyte);
    play.now += seconds(4);
    // One byte now and then is no progress.
    play.push(0, 1);
    for (int round = 0; round < 64; ++round)
        play.push(3, 64 * kibibyte);
    cr_assert(play.clients[3].open);
    cr_assert(play.clients[3].held.held_bytes == 4 * mebibyte);
}

Test(caller_memory, bodies_that_come_steadily_do_not_give_way) {
    crowd_play play;
    play.clients.resize(5);
    for (int round = 0; round < 45; ++round) {
        for (std::size_t i = 0; i < 2; ++i)
            play.push(i, 80 * kibibyte);
        play.now += milliseconds(100);
    }
    for (std::size_t i = 2; i < 5; ++i)
        for (int round = 0; round < 64; ++round)
            play.push(i, 64 * kibibyte);
    cr_assert(play.clients[0].open);
    cr_assert(play.clients[1].open);
}

Test(caller_memory, a_transfer_stalls_when_it_stops_or_takes_long) {
    transfer_progress progress;
    cr_assert(!is_stalled(progress, start));
    note_transfer(progress, 100, start);
    cr_assert(!is_stalled(progress, start + seconds(2)));
    cr_assert(is_stalled(progress, start + seconds(3)));
    transfer_progress steady;
    for (int i = 0; i < 80; ++i)
        note_transfer(steady, 1000, start + milliseconds(100) * i);
    cr_assert(!is_stalled(steady, start + seconds(8)));
    for (int i = 80; i < 130; ++i)
        note_transfer(steady, 1000, start + milliseconds(100) * i);
    cr_assert(is_stalled(steady, start + seconds(13)));
}

Test(caller_memory, the_stalled_connection_that_holds_most_gives_way) {
    transfer_progress old;
    note_transfer(old, 1, start);
    transfer_progress young;
    note_transfer(young, 1, start + seconds(5));
    const std::vector<held_connection> held = {
        {10, old}, {30, old}, {90, young}, {20, old}};
    cr_assert(choose_to_give_way(held, start + seconds(5)) == 1);
    cr_assert(!choose_to_give_way({}, start).has_value());
}

// What the system holds unread of each connection added up to more than the
// memory of the machine.
Test(caller_memory, only_requests_that_go_on_get_a_large_receive_buffer) {
    cr_assert(!needs_large_receive_buffer(connection_bytes));
    cr_assert(!needs_large_receive_buffer(
        connection_bytes + receive_buffer_bytes / 2));
    cr_assert(
        needs_large_receive_buffer(connection_bytes + receive_buffer_bytes));
}

Test(caller_memory, a_part_of_the_whole_is_left_to_small_requests) {
    const std::size_t large = max_small_request_bytes + 1;
    cr_assert(has_room(large, 12 * mebibyte, 16 * mebibyte));
    cr_assert(!has_room(large, 12 * mebibyte + 1, 16 * mebibyte));
    cr_assert(has_room(1, 16 * mebibyte, 16 * mebibyte));
    cr_assert(!has_room(1, 16 * mebibyte + 1, 16 * mebibyte));
}
