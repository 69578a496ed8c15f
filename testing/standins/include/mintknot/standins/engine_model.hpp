/// @file
/// The simulated model engine behind fake-engine.
#ifndef MINTKNOT_STANDINS_ENGINE_MODEL_HPP
#define MINTKNOT_STANDINS_ENGINE_MODEL_HPP

#include <mintknot/base/time.hpp>
#include <mintknot/engine/orders.hpp>

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace mintknot::standins {

/// The speeds and sizes of an engine. Checked by the program that reads them.
struct engine_options {
    double prefill_tokens_per_second = 20000;
    double step_ms = 8;                 ///< A decode step of an empty batch.
    double step_ms_per_sequence = 0.1;  ///< Added by each running sequence.
    std::uint64_t kv_capacity = 200000; ///< Tokens.
    std::uint64_t prefix_cache_tokens = 100000;
    double link_tokens_per_second = 200000; ///< Export, shared by transfers.
    std::uint64_t most_queued_prefill = 400000; ///< Tokens; more is rejected.
    base::milliseconds result_kept{4000};
    base::milliseconds report_lag{200};
};

/// Ground truth that only the engine knows. All in tokens.
struct engine_truth {
    std::uint64_t prefilled = 0; ///< Computed, without those cached.
    std::uint64_t cached = 0;    ///< Taken from the prefix cache.
    std::uint64_t exported = 0;  ///< Computed and fetched by a decode.
    std::uint64_t expired = 0;   ///< Computed and never fetched in time.
    std::uint64_t cancelled = 0; ///< Computed and given up by its caller.
    std::uint64_t decoded = 0;
    std::uint64_t kv_used = 0;  ///< Held now.
    std::uint64_t attempts = 0; ///< Attempts that hold anything now.
};

/// How a prefill ended.
struct prefill_end {
    enum class state { done, rejected, cancelled };
    state end = state::rejected;
    engine::prefill_result result;
    std::string error;
};

/// Batches continuously: a prefill queue by priority, a decode batch with a
/// common step, KV memory in tokens, results that expire, streams that outlive
/// their readers. Thread: all functions may be called from any thread.
class engine_model {
public:
    /// Receives stream events. @return false to leave the stream.
    using event_sink = std::function<bool(const engine::decode_event&)>;
    /// Told about each part of an export. @return false to break it.
    using export_sink = std::function<bool(std::uint64_t tokens_done)>;

    explicit engine_model(const engine_options& options);
    ~engine_model();
    engine_model(const engine_model&) = delete;
    engine_model& operator=(const engine_model&) = delete;

    /// Blocks until the prefill has ended.
    prefill_end prefill(const engine::prefill_order& order);

    /// Keeps a result from expiring until export_result() has ended.
    /// @return the prompt behind it, or an empty text if it is gone.
    std::string begin_export(const std::string& handle);
    /// Paces an export on the shared link; on success the result is freed.
    /// @return false if the result has gone or the sink broke the export.
    bool export_result(const std::string& handle, const export_sink& on_part);

    /// Reserves memory for a decode whose KV cache is still to be imported.
    /// @return a text that says why not; empty if it was admitted.
    std::string admit(const engine::decode_order& order);
    /// @return false if the stream has been cancelled meanwhile.
    bool import_progress(const std::string& attempt);
    void import_done(const std::string& attempt, const std::string& prompt);
    void import_failed(const std::string& attempt, const std::string& error);

    bool has_stream(const std::string& attempt) const;
    /// Hands a stream's events from an offset on to one reader, to the end.
    void read_stream(
        const std::string& attempt, std::uint64_t offset,
        const event_sink& sink);

    void cancel(const std::string& attempt);
    void set_leaving(bool leaving);

    /// @return the report as it was up to the configured lag ago.
    engine::load_report report() const;
    engine_truth truth() const;

private:
    struct impl;
    std::unique_ptr<impl> impl_;
};

} // namespace mintknot::standins

#endif
