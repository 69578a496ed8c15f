/// @file
/// A request that one call to a server answers.
#ifndef MINTKNOT_RELAY_PLAIN_EXCHANGE_HPP
#define MINTKNOT_RELAY_PLAIN_EXCHANGE_HPP

#include <mintknot/relay/exchange.hpp>

namespace mintknot::relay {

/// Sends the request to a server and its answer back. Small answers are held
/// until they are whole, so that a broken one can still be replaced. What
/// follows each call is the rule of policy::after_plain_call().
class plain_exchange final : public exchange {
public:
    plain_exchange(
        router_context& context, answer_sink& sink, caller_request request,
        std::shared_ptr<const traffic::configuration> config,
        const traffic::route& route, const traffic::service& service);
    ~plain_exchange() override;

    void drained() override;

private:
    void run() override;
    void cancel_calls() override;
    bool may_be_running() const override;

    void place();
    void on_placed(const policy::placement& placed);
    void send(const traffic::server& server, const std::string& placed_by);
    void on_head(http1::response_head& head);
    void on_body(std::string_view piece);
    void on_done();
    void on_failure(upstream::call_failure why);
    void on_silence();
    void start_streaming();

    /// @return what a whole answer means for the next step.
    policy::call_end end_of_answer() const;
    /// The call has ended so: asks what comes next, and does it.
    void after(policy::call_end end, policy::call_result result);
    policy::next_step next_step(policy::call_end end) const;
    void take(const policy::next_step& step);
    /// Does a step that ends the exchange.
    void end_with(policy::action what, const policy::next_step& step);
    void release_load();

    std::unique_ptr<placement_ticket> placement_;
    std::unique_ptr<upstream::call> call_;
    std::string server_;     ///< ID of the one that is working on it.
    base::steady_time sent_; ///< The call at hand.
    policy::excluded_servers tried_;
    http1::response_head answer_;
    answer_metadata answer_terms_;
    std::string body_;
    event::timer silence_timer_;
};

} // namespace mintknot::relay

#endif
