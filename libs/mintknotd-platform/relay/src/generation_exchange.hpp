/// @file
/// A request that is processed in two phases: one engine prefills the prompt,
/// another one decodes the answer.
#ifndef MINTKNOT_RELAY_GENERATION_EXCHANGE_HPP
#define MINTKNOT_RELAY_GENERATION_EXCHANGE_HPP

#include <mintknot/policy/call_charges.hpp>
#include <mintknot/relay/exchange.hpp>
#include <mintknot/traffic/event_splitter.hpp>

namespace mintknot::relay {

class life_check;

/// Chooses a decode engine with enough free memory, has a prefill engine
/// process the prompt, hands the result over and forwards the events. A prefill
/// may be retried freely; only a decode counts as running the request. A
/// resumable stream continues on another engine after the last event that was
/// forwarded. The rules are in policy: admission, attempts, call_charges,
/// engine_needs, timeouts.
class generation_exchange final : public exchange {
public:
    generation_exchange(
        router_context& context, answer_sink& sink, caller_request request,
        std::shared_ptr<const traffic::configuration> config,
        const traffic::route& route, const traffic::service& service);
    ~generation_exchange() override;

    void on_sink_writable() override;

private:
    /// State of the current prefill call, and the engines tried so far.
    struct prefill_state {
        std::unique_ptr<upstream::call> call;
        std::string server; ///< Empty if no call is in flight.
        std::string body;
        int status = 0;
        answer_metadata metadata;
        base::steady_time started_at;
        base::milliseconds expected{0};
        double tokens_ahead = 0.0; ///< Queued on the engine before this one.
        policy::excluded_servers tried;
    };

    /// A KV cache that a prefill engine keeps for this request.
    struct kept_result {
        std::string server; ///< Empty if there is no kept result.
        std::string handle;
        std::string location;
        base::steady_time expires_at;
    };

    /// State of a decode call.
    struct decode_state {
        std::unique_ptr<upstream::call> call;
        int number = 0;     ///< Of the call, counted from 1 in this exchange.
        std::string server; ///< Where memory is reserved; empty if nowhere.
        upstream::target target; ///< Where the last call was sent.
        std::string version;     ///< Of the engine that was called last.
        double reserved_tokens = 0.0;
        base::steady_time placed_at;
        base::steady_time started_at;
        http1::response_head answer;
        answer_metadata metadata;
        /// How the answer counts; nothing: it has no head yet.
        std::optional<policy::call_end> answer_end;
        std::string failure_body;
        bool streaming = false; ///< The current answer is an event stream.
        /// For how long the current call has been seen to write events.
        base::milliseconds written_for{0};
        std::optional<base::steady_time> event_at; ///< Its last event.
        bool used_result = false; ///< The call uses a kept prefill result.
        traffic::event_splitter splitter;
        /// Its silence counts against the engine, once until it writes again.
        bool silence_noted = false;
        /// Valid while memory is reserved and the stream is followed.
        std::optional<std::list<tracked_stream>::iterator> tracked;
        /// Forecast of the engine's memory when it was chosen.
        std::optional<policy::engine_outlook> outlook;
    };

    void run() override;
    void cancel_calls() override;
    bool may_be_running() const override;

    /// @return what the request needs in its current state.
    policy::placement_query query() const;
    /// Requests a placement; on_placed() continues with the result.
    void place();
    void on_placed(const policy::placement& placed);
    /// Places the stream again: the engine that was named for it has another
    /// software version. Ends the exchange if that happens too often.
    void place_again_without(const std::string& engine);
    /// Excludes the prefill engine of a placement if this instance knows that
    /// it takes no new requests. A scheduler that is cut off from the store may
    /// still choose it. @return true if the engine was excluded by this call.
    bool exclude_leaving_prefill(const policy::placement& placed);
    /// Joins the wait queue, or refuses the request if waiting is not worth it.
    /// @param seen the free capacity of the engines, from the last placement.
    void wait_for_capacity(const policy::capacity_summary& seen);
    /// Pauses before the next placement, or refuses the request: engines exist,
    /// but too many connections in a row have failed.
    void wait_for_connection();
    policy::unplaced_request describe_unplaced() const;
    policy::queue_rank rank(bool late) const;
    /// @return the expected wait behind all requests ahead in the queues; empty
    /// if it cannot be predicted.
    std::optional<base::milliseconds>
    expected_wait(const policy::capacity_forecast& forecast) const;
    void join_queue(bool late);
    void log_no_capacity(
        const policy::capacity_summary& seen,
        std::optional<base::milliseconds> expected);
    /// @return true if a kept prefill result can still be handed over.
    bool result_usable() const;
    /// Takes retries from the allowance until the given number is prepaid.
    /// @return false if the allowance is spent; retries taken stay prepaid.
    bool prepay(int retries);
    void release_decode() { release(decode_); }
    /// Releases the memory that is reserved for a decode call.
    void release(decode_state& decode);
    /// Reserves memory on the decode engine; follows the stream's memory if its
    /// service has large events.
    void reserve_decode(const policy::placement& placed);
    double memory_needed() const;
    /// @return true if the memory of this stream is followed over its life.
    bool follows_memory() const;
    policy::output_estimate output_estimate() const;
    /// @return what is known of the memory that the stream will hold.
    policy::stream_memory expected_memory() const;
    /// Counts events, which raise the memory that the stream holds.
    void count_events(std::string_view events);
    /// Records and logs the output of a stream that has ended.
    void record_output();
    /// Adds to the fields of a log line what the memory forecast says.
    void add_memory_fields(std::vector<logging::log_field>& fields) const;
    /// The same for a request without an engine.
    void add_needs_fields(std::vector<logging::log_field>& fields) const;

    /// @param ahead prompt tokens that are queued on the engine before these.
    void start_prefill(const traffic::server& engine, double ahead);
    void log_prefill() const;
    void on_prefill_body(std::string_view piece);
    void on_prefill_done();
    void on_unusable_prefill();
    void keep_result(const prefill_result& result);
    void record_prefill_time(base::milliseconds duration);
    void on_prefill_failure(upstream::call_failure why);
    void on_prefill_silence();
    void
    after_failed_prefill(policy::call_result result, std::string_view reason);
    void end_prefill();

    void start_decode();
    /// @return true if a scheduler chose the decode engine too long ago. An
    /// instance without the full server table is not told when an engine stops
    /// taking requests in the meantime.
    bool placement_expired() const;
    /// @return true if the engine may be another process than its row tells
    /// of, and may so have another version than the stream needs.
    bool is_life_uncertain(const traffic::server& engine) const;
    /// Goes on with the stream once the engine has confirmed its life, or
    /// places it again.
    void start_decode_after_check(const traffic::server& engine);
    /// Asks the engine whether it is the process that its row tells of.
    void check_life(
        const traffic::server& engine, std::function<void(bool same)> then);
    /// As note_stream_begun(), with the version of the engine that has written
    /// the first event; where its life is uncertain, once that is confirmed.
    void note_origin();
    void log_decode(const traffic::server& engine) const;
    void send_decode(const traffic::server& engine);
    upstream::call_handlers handlers_of_call(int number);
    void on_decode_head(http1::response_head& head);
    void
    read_head(decode_state& decode, const http1::response_head& head) const;
    /// Nothing of the answer can be used, whatever follows.
    void on_bad_decode_head();
    void on_decode_body(std::string_view piece);
    /// An answer that is no stream is longer than what is kept of it.
    void on_long_failure();
    void on_decode_done();
    /// @return true if the answer, which ends with its connection, has ended
    /// inside an event.
    bool was_cut_inside_event() const;
    void finish_stream();
    void on_decode_failure(upstream::call_failure why);
    /// A decode call has ended, or is cancelled, before anything was sent.
    void note_unsent_decode();
    void after_rejected_decode();
    void log_rejection() const;
    void watch_silence();

    /// Silence alone does not end an answer: the call stays open while the
    /// request looks for another engine, until that one has taken the stream
    /// (policy::silent_call_overlap).
    void on_decode_silence();
    /// @param leaves whether another engine is looked for.
    void log_silence(bool leaves) const;
    /// @return true if this is the call that has been silent.
    bool is_silent_call(int number) const;
    /// Goes on with the silent call and ends the search for another engine.
    void take_back_silent_call(std::string_view reason);
    /// The same if there is a silent call, because the search has failed; looks
    /// again if the engine stays silent. @return false if there is none.
    bool return_to_silent_call(std::string_view reason);
    /// Cancels what the search for another engine has begun.
    void cancel_search();
    /// @param reason see relay_metrics::count_silent_call().
    void drop_silent_call(std::string_view reason);
    /// The silent engine answers. Unless with the stream, the search goes on.
    void on_silent_head(http1::response_head& head);
    void on_silent_done();
    void on_silent_failure(upstream::call_failure why);
    /// As ensure_allowed(), but a block only ends the search for another engine
    /// while there is a silent call.
    bool ensure_sendable();
    /// @return the time since the last event, or since the call was sent.
    base::milliseconds silent_for(const decode_state& decode) const;

    /// Records the memory share and time that a finished decode took.
    void record_demand();
    /// Records how the decode call ended, then performs the next step.
    void after_decode(policy::call_end end, policy::call_result result);
    void apply_step(const policy::next_step& step);
    void resume(std::string_view reason);

    /// Records the time until the first event.
    void record_start_times();
    void forward_events(const std::string& events);
    /// Updates for how long the current call has been writing.
    void record_progress(base::steady_time now);
    /// Updates the longest gap between events.
    void record_event_time();
    void send_head();
    /// Releases a kept prefill result that will not be used.
    void release_result();

    std::unique_ptr<placement_ticket> placement_;
    std::unique_ptr<life_check> life_check_; ///< Null: none is under way.
    /// Engine whose life has been confirmed for the next call.
    std::string confirmed_engine_;
    /// Host that chose the servers; empty if this instance did.
    std::string placed_by_;
    policy::call_charges charges_;
    prefill_state prefill_;
    kept_result kept_;
    decode_state decode_;
    policy::excluded_servers decode_tried_;
    int decode_calls_ = 0; ///< Started so far.
    /// The call whose engine fell silent, while another engine is looked for.
    std::optional<decode_state> silent_;
    std::optional<std::uint64_t> last_event_;        ///< Last event forwarded.
    std::optional<base::steady_time> last_event_at_; ///< When it was.
    double events_ = 0.0; ///< Forwarded; counted if the memory is followed.
    std::optional<base::steady_time> first_event_at_;
    std::unique_ptr<wait_queue::ticket> queue_ticket_;
    bool was_queued_ = false;    ///< Has waited for capacity before.
    int version_mismatches_ = 0; ///< Engines named that could not be used.
    event::timer wait_timer_;
    event::timer silence_timer_;
    event::timer overlap_timer_; ///< Runs while two decode calls are open.
};

} // namespace mintknot::relay

#endif
