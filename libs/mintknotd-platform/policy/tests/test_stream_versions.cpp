#include <mintknot/policy/placement.hpp>

#include <criterion/criterion.h>

#include <algorithm>
#include <random>
#include <vector>

using namespace mintknot;
using namespace mintknot::policy;

namespace {

constexpr double engine_tokens = 10000.0;
constexpr double stream_tokens = 1000.0;
constexpr auto prefill = traffic::engine_phase::prefill;
constexpr auto decode = traffic::engine_phase::decode;

/// A stream that runs.
struct running_stream {
    std::string engine;
    std::string version;
    int ends_at = 0; ///< In milliseconds of the play.
};

/// Two engines of the old version, and ten of the new one, at the end of a
/// rollout, played in virtual time.
struct rollout_play {
    rollout_play() {
        target.name = "llm";
        target.max_connections = 1000;
        target.engine = traffic::engine_spec{
            static_cast<std::uint64_t>(engine_tokens), base::milliseconds(500)};
        for (int i = 0; i < 12; ++i)
            add_server("d" + std::to_string(i), decode, i < 2 ? "old" : "new");
    }

    void add_server(
        const std::string& id, traffic::engine_phase phase,
        const std::string& version) {
        traffic::server value;
        value.id = id;
        value.service = "llm";
        value.data_centre = "a";
        value.phase = phase;
        value.version = version;
        value.slots = 64;
        apply(servers, id, ++row_version, value);
    }

    selection_inputs inputs() {
        return {servers, loads, health, rates, target, "a", 4, now(), [this] {
                    return std::uniform_real_distribution<double>(0.0, 1.0)(
                        random);
                }};
    }

    base::steady_time now() const {
        return base::steady_time(std::chrono::hours(1)) +
               base::milliseconds(at_ms);
    }

    /// @return true if the stream found an engine.
    bool begin(const std::string& version, int lasts) {
        placement_query query;
        query.service = "llm";
        query.kind = placement_kind::decode;
        query.memory_tokens = stream_tokens;
        selection_inputs scoped = inputs();
        if (!version.empty())
            scoped.only_version = version;
        const placement placed = choose_servers(scoped, query);
        if (placed.server.empty())
            return false;
        traffic::add(loads, placed.server, {1, 0.0, stream_tokens});
        running.push_back(
            {placed.server, traffic::find(servers, placed.server)->version,
             at_ms + lasts});
        return true;
    }

    void end(const running_stream& stream) {
        traffic::remove(loads, stream.engine, {1, 0.0, stream_tokens});
    }

    void end_due() {
        std::erase_if(running, [this](const running_stream& stream) {
            if (stream.ends_at > at_ms)
                return false;
            end(stream);
            return true;
        });
    }

    /// Breaks each second stream, as if half of the instances had ended.
    void break_half() {
        std::vector<running_stream> left;
        for (std::size_t i = 0; i < running.size(); ++i) {
            if (i % 2 == 0) {
                left.push_back(running[i]);
                continue;
            }
            end(running[i]);
            broken.push_back(running[i]);
        }
        running = std::move(left);
    }

    traffic::server_table servers;
    traffic::load_view loads;
    health_view health;
    prefill_rates rates;
    traffic::service target;
    std::uint64_t row_version = 0;
    int at_ms = 0;
    std::mt19937 random{1};
    std::vector<running_stream> running;
    std::vector<running_stream> broken;
};

struct shares {
    int fresh = 0;
    int fresh_begun = 0;
    int old_taken_up = 0;
    int old_gone_on = 0;
};

/// Every 25 ms a new stream of three seconds comes, for which there is just
/// room; half of all streams break every 4 s and are taken up 100 ms later.
shares play_rollout() {
    constexpr int arrival_ms = 27;
    constexpr int stream_ms = 3000;
    constexpr int break_ms = 4000;
    constexpr int take_up_delay_ms = 100;
    rollout_play play;
    shares result;
    for (play.at_ms = 0; play.at_ms < 40000; ++play.at_ms) {
        play.end_due();
        if (play.at_ms % break_ms == 0)
            play.break_half();
        if (play.at_ms % break_ms == take_up_delay_ms) {
            for (const running_stream& stream : play.broken) {
                const bool went_on = play.begin(stream.version, stream_ms / 2);
                if (stream.version != "old")
                    continue;
                ++result.old_taken_up;
                result.old_gone_on += went_on ? 1 : 0;
            }
            play.broken.clear();
        }
        if (play.at_ms % arrival_ms == 0) {
            ++result.fresh;
            result.fresh_begun += play.begin({}, stream_ms) ? 1 : 0;
        }
    }
    return result;
}

} // namespace

Test(stream_versions, a_stream_goes_on_at_its_version_only) {
    rollout_play play;
    int begun = 0;
    while (play.begin("old", 1000))
        ++begun;
    cr_assert(begun > 2);
    for (const running_stream& stream : play.running)
        cr_assert(stream.version == "old");
    cr_assert(!play.begin("gone", 1000));
    cr_assert(play.begin({}, 1000));
}

Test(stream_versions, no_engine_of_the_version_is_told_from_full_ones) {
    rollout_play play;
    selection_inputs scoped = play.inputs();
    scoped.only_version = "gone";
    cr_assert(summarize_capacity(scoped, {stream_tokens}).engines == 0);
    scoped.only_version = "old";
    cr_assert(summarize_capacity(scoped, {stream_tokens}).engines == 2);
}

Test(stream_versions, an_engine_without_a_version_takes_up_no_stream) {
    rollout_play play;
    play.add_server("unknown", decode, "");
    selection_inputs scoped = play.inputs();
    scoped.only_version = "";
    cr_assert(select_decode(scoped, {}, {stream_tokens, 1.0, ""}) == nullptr);
}

Test(stream_versions, prefill_and_decode_engines_have_one_version_if_possible) {
    rollout_play play;
    play.add_server("p", prefill, "old");
    placement_query query;
    query.service = "llm";
    query.kind = placement_kind::prefill_and_decode;
    query.memory_tokens = stream_tokens;
    query.max_prefill_time = base::milliseconds(5000);
    query.version = "new";
    selection_inputs scoped = play.inputs();
    scoped.only_version = "new";
    const placement placed = choose_servers(scoped, query);
    cr_assert(!placed.server.empty());
    cr_assert(placed.prefill.empty());
}

Test(stream_versions, the_last_engines_of_a_version_have_room_for_its_streams) {
    const shares played = play_rollout();
    const double begun = static_cast<double>(played.fresh_begun) / played.fresh;
    const double gone_on =
        static_cast<double>(played.old_gone_on) / played.old_taken_up;
    cr_log_info(
        "%d of %d taken up went on, %d of %d new began", played.old_gone_on,
        played.old_taken_up, played.fresh_begun, played.fresh);
    cr_assert(played.old_taken_up >= 12);
    cr_assert(gone_on >= begun / 2.0);
}
