#include <mintknot/policy/part_evidence.hpp>

#include <mintknot/policy/crash_evidence.hpp>

#include <criterion/criterion.h>

#include <random>
#include <string>
#include <vector>

using namespace mintknot;
using namespace mintknot::policy;

namespace {

using base::milliseconds;

const base::steady_time start{std::chrono::hours(1)};
constexpr milliseconds gap{500};

/// Evidence with a manually advanced clock.
struct part_fixture {
    part_evidence evidence;
    base::steady_time now = start;
    int engines = 0;

    /// Another engine ends under a request with these parts.
    void crash(const prompt_parts& parts, milliseconds after = gap) {
        now += after;
        note_part_crash(
            evidence, parts, "e" + std::to_string(++engines), now, now);
    }
    void sound(const std::string& part) { note_sound(evidence, part, now); }
    std::vector<crash_cause> causes() const {
        return find_causes(evidence, now);
    }
    void block() {
        for (const crash_cause& cause : causes())
            block_cause(evidence, cause, now);
    }
    bool blocked(const prompt_parts& parts) const {
        return find_part_block(evidence, parts, {}, now) != nullptr;
    }
};

} // namespace

Test(part_evidence, three_ends_under_one_part_block_it) {
    part_fixture f;
    f.crash({"bad", "a"});
    f.crash({"bad", "b"});
    cr_assert(f.causes().empty());
    cr_assert(!f.evidence.evaluate_at);
    f.crash({"bad", "c"});
    cr_assert(f.evidence.evaluate_at == f.now + crash_report_time);
    cr_assert(f.causes().size() == 1);
    cr_assert(f.causes()[0].parts == prompt_parts{"bad"});
    f.block();
    cr_assert(f.blocked({"bad", "x", "y"}));
    cr_assert(!f.blocked({"a", "b", "c"}));
    cr_assert(f.causes().empty());
}

Test(part_evidence, a_part_that_others_are_answered_with_is_not_blamed) {
    part_fixture f;
    for (int i = 0; i < 6; ++i) {
        f.crash({"first", "bad"});
        f.sound("first");
    }
    cr_assert(f.causes().size() == 1);
    cr_assert(f.causes()[0].parts == prompt_parts{"bad"});
}

Test(part_evidence, a_part_that_was_sound_before_needs_more_ends) {
    part_fixture f;
    f.sound("first");
    for (std::size_t i = 1; i < max_crashes_of_sound_part; ++i)
        f.crash({"first"});
    cr_assert(f.causes().empty());
    f.crash({"first"});
    cr_assert(f.causes().size() == 1);
}

Test(part_evidence, a_power_loss_is_one_end) {
    part_fixture f;
    for (int i = 0; i < 20; ++i)
        f.crash({"first"}, milliseconds(1));
    cr_assert(f.causes().empty());
}

Test(part_evidence, parts_with_the_same_ends_are_blocked_together) {
    part_fixture f;
    for (int i = 0; i < 3; ++i)
        f.crash({"bad", "beside"});
    f.block();
    cr_assert(f.blocked({"bad", "beside", "x"}));
    cr_assert(!f.blocked({"beside", "x"}));
    cr_assert(!f.blocked({"bad", "x"}));
    f.crash({"bad", "x"});
    cr_assert(f.causes().size() == 1);
    cr_assert(f.causes()[0].parts == prompt_parts{"bad"});
}

Test(part_evidence, what_one_part_explains_is_not_held_against_others) {
    part_fixture f;
    for (int i = 0; i < 3; ++i)
        f.crash({"bad", "beside"});
    f.crash({"bad"});
    cr_assert(f.causes().size() == 1);
    f.block();
    for (int i = 0; i < 2; ++i)
        f.crash({"beside", "bad"});
    cr_assert(f.causes().empty());
    cr_assert(!f.blocked({"beside"}));
}

Test(part_evidence, two_bad_parts_are_both_blocked) {
    part_fixture f;
    for (int i = 0; i < 4; ++i) {
        f.crash({"first", "one"});
        f.crash({"first", "two"});
        f.sound("first");
    }
    f.block();
    cr_assert(f.blocked({"one"}));
    cr_assert(f.blocked({"two"}));
    cr_assert(!f.blocked({"first"}));
}

Test(part_evidence, a_block_that_ends_is_renewed_by_one_end) {
    part_fixture f;
    for (int i = 0; i < 3; ++i)
        f.crash({"bad"});
    f.block();
    f.now += first_block_time;
    cr_assert(!f.blocked({"bad"}));
    cr_assert(
        find_part_block(f.evidence, {"bad"}, milliseconds(1000), f.now) !=
        nullptr);
    expire_parts(f.evidence, f.now);
    f.crash({"bad"});
    cr_assert(f.evidence.evaluate_at.has_value());
    f.block();
    cr_assert(f.blocked({"bad"}));
    f.now += first_block_time;
    cr_assert(f.blocked({"bad"}));
}

Test(part_evidence, a_sound_answer_ends_a_block) {
    part_fixture f;
    for (int i = 0; i < 3; ++i)
        f.crash({"bad"});
    f.block();
    const auto known = part_blocks(f.evidence, f.now);
    cr_assert(known.size() == 1);
    cr_assert(clear_part_blocks(f.evidence, {"bad", "x"}, f.now).size() == 1);
    cr_assert(!f.blocked({"bad"}));
    cr_assert(!note_part_block(f.evidence, known[0], f.now));
    f.now += milliseconds(20000);
    cr_assert(note_part_block(f.evidence, known[0], f.now));
    cr_assert(!note_part_block(f.evidence, known[0], f.now));
    cr_assert(f.blocked({"bad"}));
}

Test(part_evidence, what_is_remembered_is_bounded) {
    part_fixture f;
    for (int i = 0; i < 3; ++i)
        f.crash({"bad"});
    for (int i = 0; i < 20000; ++i) {
        f.crash({"p" + std::to_string(i)}, milliseconds(1));
        f.sound("s" + std::to_string(i));
    }
    cr_assert(f.evidence.suspects.size() <= 2048);
    cr_assert(f.evidence.suspects.contains("bad"));
    cr_assert(
        f.evidence.sound.recent.size() + f.evidence.sound.earlier.size() <=
        8192);
    cr_assert(last_sound(f.evidence, "s19999").has_value());
}

namespace {

/// A request of the play.
struct played_request {
    prompt_parts parts;
    std::string engine;
    base::steady_time began;
    bool bad = false;
    bool reported_sound = false;
};

/// Sound requests, and from a time on bad ones, at engines that end under bad
/// ones; and engines that are killed.
struct part_play {
    explicit part_play(unsigned seed)
        : random(seed) {
        f.evidence.counts_from = start + part_learning_time;
    }

    std::size_t draw(std::size_t bound) {
        return std::uniform_int_distribution<std::size_t>(0, bound - 1)(random);
    }

    void send(bool bad) {
        played_request request;
        request.parts = {"first", "document" + std::to_string(draw(5))};
        if (bad)
            request.parts.insert("bad");
        request.bad = bad;
        if (find_part_block(f.evidence, request.parts, {}, f.now) != nullptr) {
            ++(bad ? bad_refused : sound_refused);
            return;
        }
        request.engine = "e" + std::to_string(draw(engines)) + "/" +
                         std::to_string(++lives / 1000);
        request.began = f.now;
        running.push_back(request);
    }

    void end_engine(const std::string& engine) {
        ++ended;
        std::erase_if(running, [&](const played_request& request) {
            if (request.engine != engine)
                return false;
            if (f.now - request.began < sound_time)
                note_part_crash(
                    f.evidence, request.parts,
                    engine + "#" + std::to_string(ended), f.now, f.now);
            return true;
        });
    }

    void step() {
        f.now += milliseconds(1);
        std::vector<std::string> crashing;
        for (played_request& request : running) {
            const auto age = f.now - request.began;
            if (request.bad && age >= milliseconds(80))
                crashing.push_back(request.engine);
            if (age >= sound_time && !request.reported_sound) {
                request.reported_sound = true;
                for (const std::string& part : request.parts)
                    note_sound(f.evidence, part, f.now);
            }
        }
        for (const std::string& engine : crashing)
            end_engine(engine);
        std::erase_if(running, [this](const played_request& request) {
            return f.now - request.began >= milliseconds(2500);
        });
        if (f.evidence.evaluate_at && *f.evidence.evaluate_at <= f.now) {
            f.evidence.evaluate_at.reset();
            f.block();
        }
    }

    part_fixture f;
    std::mt19937 random;
    std::size_t engines = 12;
    std::size_t lives = 0;
    std::vector<played_request> running;
    std::size_t ended = 0;
    std::size_t bad_refused = 0;
    std::size_t sound_refused = 0;
};

} // namespace

Test(part_evidence, in_a_played_load_only_the_bad_part_is_refused) {
    for (unsigned seed = 1; seed <= 20; ++seed) {
        part_play play(seed);
        for (int ms = 0; ms < 20000; ++ms) {
            play.step();
            if (ms % 100 == 0)
                play.send(false);
            if (ms > 3000 && ms % 300 == 0)
                play.send(true);
            // Engines are killed one after the other, and three at once.
            if (ms % 1700 == 0 && !play.running.empty())
                play.end_engine(play.running.back().engine);
            if (ms == 9000)
                for (int i = 0; i < 3 && !play.running.empty(); ++i)
                    play.end_engine(play.running.back().engine);
        }
        cr_assert(play.bad_refused > 40);
        cr_assert(play.sound_refused == 0);
    }
}

Test(part_evidence, engines_killed_in_series_blame_no_part) {
    for (unsigned seed = 1; seed <= 20; ++seed) {
        part_play play(seed);
        for (int ms = 0; ms < 20000; ++ms) {
            play.step();
            if (ms % 200 == 0)
                play.send(false);
            if (ms % 900 == 0 && !play.running.empty())
                play.end_engine(
                    play.running[play.draw(play.running.size())].engine);
        }
        cr_assert(play.sound_refused == 0);
    }
}
