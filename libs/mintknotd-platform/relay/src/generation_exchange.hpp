/// @file
/// A request whose prompt one engine reads and whose answer another makes.
#ifndef MINTKNOT_RELAY_GENERATION_EXCHANGE_HPP
#define MINTKNOT_RELAY_GENERATION_EXCHANGE_HPP

#include <mintknot/policy/call_charges.hpp>
#include <mintknot/relay/exchange.hpp>
#include <mintknot/traffic/event_splitter.hpp>

namespace mintknot::relay {

/// Chooses a decode engine with room, has a prefill engine read the prompt,
/// hands the result over and passes the events on. Reading may be repeated
/// freely; decoding is what runs the request. A resumable stream goes on at
/// another engine behind the last event that was passed on. The rules are in
/// policy: admission, attempts, call_charges, engine_needs, timeouts.
class generation_exchange final : public exchange {
public:
    generation_exchange(
        router_context& context, answer_sink& sink, caller_request request,
        std::shared_ptr<const traffic::configuration> config,
        const traffic::route& route, const traffic::service& service);
    ~generation_exchange() override;

    void drained() override;

private:
    /// The prefill call at hand, and what earlier ones leave behind.
    struct prefill_state {
        std::unique_ptr<upstream::call> call;
        std::string server; ///< Empty: none is under way.
        std::string body;
        int status = 0;
        answer_terms terms;
        base::steady_time started;
        base::milliseconds expected{0};
        double tokens_ahead = 0.0; ///< That were to be read before.
        policy::excluded_servers tried;
    };

    /// A KV cache that a prefill engine keeps for this request.
    struct kept_result {
        std::string server; ///< Empty: there is none.
        std::string handle;
        std::string place;
        base::steady_time until;
    };

    /// The decode call at hand, and what earlier ones leave behind.
    struct decode_state {
        std::unique_ptr<upstream::call> call;
        std::string server; ///< On which memory is reserved; empty: none.
        double reserved_tokens = 0.0;
        base::steady_time placed;
        base::steady_time started;
        http1::response_head answer;
        answer_terms terms;
        std::string failure_body;
        bool streaming = false;   ///< The answer at hand is the stream.
        bool used_result = false; ///< It began from a kept result.
        traffic::event_splitter splitter;
        policy::excluded_servers tried;
    };

    void run() override;
    void cancel_calls() override;
    bool may_be_running() const override;

    /// What the request needs now.
    policy::placement_query query() const;
    /// Places the request, or joins the queue.
    void place();
    void on_placed(const policy::placement& placed);
    /// A scheduler that is cut off from the store may name an engine that is
    /// known here to leave. @return true if it has not done so before for this
    /// request; the engine is ruled out from now on.
    bool names_leaving_prefill(const policy::placement& placed);
    /// @param seen by the last choice.
    void wait_for_room(const policy::capacity_summary& seen);
    /// Engines are there, but too many connections have failed in a row.
    void wait_for_connection();
    policy::unplaced_request describe_unplaced() const;
    policy::queue_rank rank(bool late) const;
    /// @return the wait behind all that go before.
    std::optional<base::milliseconds>
    expected_wait(const policy::capacity_forecast& forecast) const;
    void join_queue(bool late);
    /// @return what a refusal for want of room tells the caller.
    base::milliseconds return_time(
        const policy::capacity_forecast& forecast,
        std::optional<base::milliseconds> expected);
    void log_room(
        const policy::capacity_summary& seen,
        std::optional<base::milliseconds> expected);
    /// @return true if a kept result can still be handed over.
    bool result_usable() const;
    /// Takes repeats out of the allowance until so many are prepaid.
    /// @return false if it is spent; what was taken stays prepaid.
    bool prepay(int repeats);
    void release_decode();
    double memory_needed() const;

    /// @param ahead tokens that the engine reads before.
    void start_prefill(const traffic::server& engine, double ahead);
    void log_prefill() const;
    void on_prefill_done();
    void keep_result(const prefill_result& result);
    void note_read_time(base::milliseconds took);
    void on_prefill_failure(upstream::call_failure why);
    void on_prefill_silence();
    void
    after_failed_prefill(policy::call_result result, std::string_view reason);
    void end_prefill();

    void start_decode();
    /// @return true if the engine was named by a scheduler so long ago that it
    /// may have said since that it leaves, and nobody would tell this instance.
    bool name_has_lapsed() const;
    void log_decode() const;
    void send_decode(const traffic::server& engine);
    void on_decode_head(http1::response_head& head);
    void on_decode_body(std::string_view piece);
    void on_decode_done();
    void finish_stream();
    void on_decode_failure(upstream::call_failure why);
    void on_decode_silence();
    void after_rejected_decode();
    void log_rejection() const;
    void watch_silence();
    /// Tells how much of the engine a finished decode has taken.
    void note_demand();
    /// The decode has ended so: asks what comes next, and does it.
    void after_decode(policy::call_end end, policy::call_result result);
    void take(const policy::next_step& step);
    void resume(std::string_view reason);

    /// Takes how long it took until the first event.
    void note_pace_of_start();
    void pass_on(const std::string& events);
    void send_head();
    /// Frees a kept result that will not be used.
    void drop_result();

    std::unique_ptr<placement_ticket> placement_;
    std::string placed_by_; ///< Host that chose the servers; empty: this one.
    policy::call_charges charges_;
    prefill_state prefill_;
    kept_result kept_;
    decode_state decode_;
    std::optional<std::uint64_t> last_event_; ///< That was passed on.
    std::unique_ptr<wait_queue::ticket> queue_ticket_;
    event::timer wait_timer_;
    event::timer silence_timer_;
};

} // namespace mintknot::relay

#endif
