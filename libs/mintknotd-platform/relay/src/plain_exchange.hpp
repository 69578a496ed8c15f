/// @file
/// A request that is answered by a single call to a server.
#ifndef MINTKNOT_RELAY_PLAIN_EXCHANGE_HPP
#define MINTKNOT_RELAY_PLAIN_EXCHANGE_HPP

#include <mintknot/relay/exchange.hpp>

namespace mintknot::relay {

/// Forwards the request to a server and the answer to the caller. Small answers
/// are buffered until they are complete, so that the request can still be
/// retried if the connection breaks. policy::after_plain_call() decides what
/// follows each call.
class plain_exchange final : public exchange {
public:
    plain_exchange(
        router_context& context, answer_sink& sink, caller_request request,
        std::shared_ptr<const traffic::configuration> config,
        const traffic::route& route, const traffic::service& service);
    ~plain_exchange() override;

    void on_sink_writable() override;

private:
    void run() override;
    void cancel_calls() override;
    bool may_be_running() const override;

    void place();
    void on_placed(const policy::placement& placed);
    /// Cancels the call to a silent server, as another one has been chosen.
    /// @return false if the request may not be sent again.
    bool leave_silent_server();
    /// Looks for another server once more if the silent one stays silent.
    void look_again_later();
    /// Ends the exchange, or decides what follows, without a server.
    void on_no_server(const policy::placement& placed);
    void send(const traffic::server& server, const policy::placement& placed);
    /// Records the decision on a call that has a claim.
    void record_decision(const policy::placement& placed);
    void log_sent(const policy::placement& placed) const;
    void log_denial(const policy::placement& placed) const;
    /// Records for how long the current call occupied a slot of its server.
    void record_service_time();
    void on_head(http1::response_head& head);
    void on_body(std::string_view piece);
    void on_done();
    /// The answer is whole.
    void on_answer();
    void on_rejection();
    void on_failure(upstream::call_failure why);
    void on_silence();
    void start_streaming();
    void remember_last_bytes(std::string_view piece);
    /// @return true if a stream, which ends with its connection, has ended
    /// inside an event.
    bool was_cut_inside_event() const;

    /// Ends the call and records how it ended.
    void end_call(policy::call_result result);
    /// The same, then performs the next step.
    void after_call(policy::call_end end, policy::call_result result);
    policy::next_step next_step(policy::call_end end) const;
    void apply_step(const policy::next_step& step);
    /// Performs a step that ends the exchange.
    void end_with_step(policy::action what, const policy::next_step& step);
    void release_load();

    std::unique_ptr<placement_ticket> placement_;
    std::unique_ptr<upstream::call> call_;
    std::string server_; ///< ID of the server of the current call, or empty.
    upstream::target target_;    ///< Where the last call was sent.
    std::string server_version_; ///< Of the software of that server.
    base::steady_time sent_at_;  ///< When the current call was sent.
    /// What was expected of the current call, if that is known.
    std::optional<policy::plain_forecast> forecast_;
    policy::excluded_servers tried_;
    http1::response_head answer_;
    answer_metadata answer_metadata_;
    /// How the answer counts; nothing: it has no head yet.
    std::optional<policy::call_end> answer_end_;
    std::string body_;
    std::string last_bytes_; ///< Of a streamed answer.
    event::timer silence_timer_;
};

} // namespace mintknot::relay

#endif
