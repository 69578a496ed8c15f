#include <mintknot/policy/held_answers.hpp>

#include <criterion/criterion.h>

#include <map>

using namespace mintknot::policy;

namespace {

constexpr std::size_t megabyte = 1024 * 1024;

/// What an instance holds while servers send endless events in small pieces.
struct endless_play {
    /// Adds a piece to an answer, or breaks it off.
    void push(int answer, std::size_t piece) {
        held_answers others = all;
        const std::size_t before = held[answer];
        others.bytes -= before;
        others.answers -= before > 0 ? 1 : 0;
        const std::size_t now = before + piece;
        const bool kept =
            now <= max_event_bytes(0.0) && may_hold(now, others, max_bytes);
        held[answer] = kept ? now : 0;
        all = others;
        all.bytes += held[answer];
        all.answers += kept ? 1 : 0;
        broken += kept ? 0 : 1;
    }
    std::size_t max_bytes = 10 * megabyte;
    held_answers all;
    std::map<int, std::size_t> held;
    int broken = 0;
};

} // namespace

Test(held_answers, the_bound_of_an_event_follows_the_tokens_of_its_request) {
    cr_assert(max_event_bytes(0.0) == 4 * megabyte);
    cr_assert(max_event_bytes(10.0) == 64 * 1024);
    cr_assert(max_event_bytes(200.0) == 200 * 1024);
    cr_assert(max_event_bytes(1e9) == 4 * megabyte);
}

// The sum of endless events filled the memory of an instance.
Test(held_answers, endless_events_of_many_streams_stay_within_the_bound) {
    endless_play play;
    for (int round = 0; round < 200; ++round)
        for (int answer = 0; answer < 300; ++answer) {
            play.push(answer, 16 * 1024);
            cr_assert(play.all.bytes < 2 * play.max_bytes);
        }
    cr_assert(play.broken > 0);
}

Test(held_answers, short_events_go_on_beside_endless_ones) {
    endless_play play;
    for (int round = 0; round < 400; ++round) {
        for (int endless = 0; endless < 100; ++endless)
            play.push(endless, 16 * 1024);
        for (int sound = 100; sound < 200; ++sound) {
            const int before = play.broken;
            play.push(sound, 4 * 1024);
            cr_assert(play.broken == before);
            play.all.bytes -= play.held[sound];
            --play.all.answers;
            play.held[sound] = 0;
        }
    }
}

Test(held_answers, what_waits_for_slow_readers_stays_within_the_bound) {
    cr_assert(max_unsent_bytes(0, 10 * megabyte) == 128 * 1024);
    cr_assert(max_unsent_bytes(10, 10 * megabyte) == 128 * 1024);
    for (const std::size_t answers : {100, 300, 1000})
        cr_assert(
            answers * max_unsent_bytes(answers, 10 * megabyte) <=
            10 * megabyte);
    cr_assert(max_unsent_bytes(100000, 10 * megabyte) == 8 * 1024);
}
