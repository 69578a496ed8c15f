/// @file
/// A request whose prompt one engine reads and whose answer another makes.
#ifndef MINTKNOT_RELAY_GENERATION_EXCHANGE_HPP
#define MINTKNOT_RELAY_GENERATION_EXCHANGE_HPP

#include <mintknot/relay/exchange.hpp>
#include <mintknot/traffic/event_splitter.hpp>

namespace mintknot::relay {

/// Chooses a decode engine with room, has a prefill engine read the prompt,
/// hands the result over and passes the events on. Reading may be repeated
/// freely; decoding is what runs the request. A resumable stream goes on at
/// another engine behind the last event that was passed on.
class generation_exchange final : public exchange {
public:
    generation_exchange(
        router_context& context, answer_sink& sink, caller_request request,
        std::shared_ptr<const traffic::configuration> config,
        const traffic::route& route, const traffic::service& service);
    ~generation_exchange() override;

    void drained() override;

private:
    /// A KV cache that a prefill engine keeps for this request.
    struct kept_result {
        std::string server; ///< Empty: there is none.
        std::string handle;
        std::string place;
        base::steady_time until;
    };

    void run() override;
    void cancel_calls() override;
    bool may_be_running() const override;

    /// What the request needs now.
    policy::placement_query query() const;
    /// @return how long a prefill engine may take. A decode engine that reads a
    /// prompt slows all its streams down: it does so only where a prefill
    /// engine would miss the target. Against half of the target it raised worth
    /// by 0.011, 0.008 and 0.018 (thirty plays each on three deployments).
    base::milliseconds read_limit() const;
    /// Places the request, or joins the queue.
    void place();
    void on_placed(const policy::placement& placed);
    /// @param seen by the last choice.
    void wait_for_room(const policy::room_summary& seen);
    /// Engines are there, but too many connections have failed in a row.
    void wait_for_connection();
    policy::unplaced_request describe_unplaced() const;
    queue_rank rank(bool late) const;
    /// @return the wait behind all that go before.
    std::optional<base::milliseconds>
    expected_wait(const policy::room_forecast& forecast) const;
    void join_queue(bool late);
    /// @return what a refusal tells the caller.
    base::milliseconds come_back(
        const policy::room_forecast& forecast,
        std::optional<base::milliseconds> expected);
    void log_room(
        const policy::room_summary& seen,
        std::optional<base::milliseconds> expected);
    /// @return true if a kept result can still be handed over.
    bool result_usable() const;
    /// @return true if one more call may be sent, and `calls` in all are within
    /// the retry allowance. The first prefill that an engine takes up does not
    /// count.
    bool may_send(int calls);
    /// Takes calls out of the allowance ahead of time.
    bool prepay(int calls);
    void note_taken_up();
    void release_decode();
    double memory_needed() const;

    /// @param ahead tokens that the engine reads before.
    void start_prefill(const traffic::server& engine, double ahead);
    void on_prefill_done();
    void on_prefill_failure(upstream::call_failure why);
    void on_prefill_silence();
    void
    after_failed_prefill(policy::call_result result, std::string_view reason);
    void end_prefill();

    void start_decode();
    void on_decode_head(http1::response_head& head);
    void on_decode_body(std::string_view piece);
    void on_decode_done();
    void on_decode_failure(upstream::call_failure why);
    void on_decode_silence();
    void after_rejected_decode();
    void watch_silence();
    /// Tells how much of the engine a finished decode has taken.
    void note_demand();
    void go_on_elsewhere(policy::call_result result, std::string_view reason);
    bool may_resume() const;

    /// Takes how long it took until the first event.
    void note_pace_of_start();
    void pass_on(const std::string& events);
    /// Frees a kept result that will not be used.
    void drop_result();

    std::unique_ptr<placement_ticket> placement_;
    std::string placed_by_; ///< Host that chose the servers; empty: this one.
    std::unique_ptr<upstream::call> prefill_call_;
    std::string prefill_server_;
    std::string prefill_body_;
    int prefill_status_ = 0;
    answer_terms prefill_terms_;
    base::steady_time prefill_started_;
    base::milliseconds prefill_expected_{0};
    double prefill_ahead_ = 0.0; ///< Tokens that were to be read before.
    policy::excluded_servers prefill_tried_;
    int prefills_ = 0;
    int arrivals_ = 0; ///< Calls that count against the retry allowance.
    int prepaid_ = 0;  ///< Calls that the allowance has been charged for.
    bool prefill_taken_up_ = false;
    kept_result kept_;

    std::unique_ptr<upstream::call> decode_call_;
    std::string decode_server_;
    double decode_reserved_ = 0.0;
    base::steady_time placed_at_;
    base::steady_time decode_started_;
    policy::excluded_servers decode_tried_;
    http1::response_head answer_;
    answer_terms answer_terms_;
    std::string failure_body_;
    bool streaming_ = false;   ///< The answer at hand is the stream.
    bool took_result_ = false; ///< The decode began from a kept result.
    traffic::event_splitter splitter_;
    std::optional<std::uint64_t> last_event_;
    int runs_ = 0;
    int rejected_ = 0;
    int unreachable_ = 0;

    std::unique_ptr<wait_queue::ticket> queue_ticket_;
    event::timer wait_timer_;
    event::timer silence_timer_;
};

} // namespace mintknot::relay

#endif
