/// @file
/// The private state of a simulated engine.
#ifndef MINTKNOT_STANDINS_SRC_ENGINE_STATE_HPP
#define MINTKNOT_STANDINS_SRC_ENGINE_STATE_HPP

#include <mintknot/base/time.hpp>
#include <mintknot/standins/engine_model.hpp>
#include <mintknot/standins/prefix_cache.hpp>
#include <mintknot/standins/prompt_writer.hpp>

#include <mintknot/base/prompt_blocks.hpp>

#include <condition_variable>
#include <map>
#include <mutex>
#include <optional>
#include <thread>

namespace mintknot::standins {

using base::steady_clock;
using base::steady_time;
using fractional_ms = std::chrono::duration<double, std::milli>;

struct prefill_job {
    engine::prefill_order order;
    std::uint64_t tokens = 0;
    std::uint64_t queue_number = 0;
    steady_time taken_at = steady_clock::now();
    bool running = false;
    bool cancelled = false;
    std::optional<prefill_end> end;
    std::condition_variable changed;
};

struct kept_result {
    std::string attempt;
    std::string holder;
    steady_time taken_at;
    std::string prompt;
    std::uint64_t tokens = 0;
    std::uint64_t computed = 0;
    steady_time expires;
    bool exporting = false;
};

struct stream {
    enum class phase { importing, running, finished, failed };

    engine::decode_order order;
    phase state = phase::importing;
    std::uint64_t reserved = 0; ///< Tokens of KV memory.
    std::uint64_t progress = 0;
    std::optional<prompt_writer> writer;
    std::vector<std::string> tokens;
    engine::finish_reason finish = engine::finish_reason::none;
    std::string error;
    int readers = 0;
    steady_time unread_since;
    std::condition_variable changed;

    bool ended() const {
        return state == phase::finished || state == phase::failed;
    }
};

/// Everything behind an engine_model; one mutex guards all of it.
struct engine_model::impl {
    explicit impl(const engine_options& chosen)
        : options(chosen)
        , cache(chosen.prefix_cache_tokens / base::block_tokens) {}

    const engine_options options;
    const std::uint64_t incarnation =
        static_cast<std::uint64_t>(base::wall_now().time_since_epoch().count());

    mutable std::mutex mutex;
    std::condition_variable work_ready; ///< For both loops.
    bool stopping = false;
    bool leaving = false;
    std::uint64_t kv_used = 0;
    std::uint64_t queued_prefill = 0;
    std::uint64_t next_queue_number = 0;
    int exports = 0;
    double last_step_ms = 0;
    std::map<std::string, std::shared_ptr<prefill_job>> jobs; ///< By attempt.
    std::map<std::string, kept_result> results;               ///< By handle.
    std::map<std::string, std::shared_ptr<stream>> streams;   ///< By attempt.
    prefix_cache cache;
    engine_truth counters;
    engine::load_report shown_report;
    steady_time report_time;

    std::thread prefill_thread;
    std::thread decode_thread;
    std::thread housekeeping_thread;

    void prefill_loop();
    void run_job(
        std::unique_lock<std::mutex>& lock,
        const std::shared_ptr<prefill_job>& job);
    std::shared_ptr<prefill_job> next_job();
    void decode_loop();
    void step();
    void housekeeping_loop();
    void drop_result(std::map<std::string, kept_result>::iterator position);
    void finish_stream(stream& entry, stream::phase state);
    engine::load_report current_report() const;
    std::size_t running() const;
};

} // namespace mintknot::standins

#endif
