/// @file
/// A request that one call to a server answers.
#ifndef MINTKNOT_RELAY_PLAIN_EXCHANGE_HPP
#define MINTKNOT_RELAY_PLAIN_EXCHANGE_HPP

#include <mintknot/relay/exchange.hpp>

namespace mintknot::relay {

/// Sends the request to a server and its answer back. Small answers are held
/// until they are whole, so that a broken one can still be replaced.
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

    void send();
    void on_placed(const policy::placement& placed);
    void on_head(http1::response_head& head);
    void on_body(std::string_view piece);
    void on_done();
    void on_failure(upstream::call_failure why);
    void on_silence();
    void start_streaming();
    /// Sends again if that is allowed, else gives up.
    void send_again(std::string_view reason);
    bool may_repeat_after_run() const;
    void release_load();

    std::unique_ptr<placement_ticket> placement_;
    std::unique_ptr<upstream::call> call_;
    std::string server_; ///< ID of the one that is working on it.
    policy::excluded_servers tried_;
    http1::response_head answer_;
    answer_terms answer_terms_;
    std::string body_;
    event::timer silence_timer_;
    int runs_ = 0;     ///< Calls that a server may have run.
    int rejected_ = 0; ///< Calls that servers turned away.
    int unreachable_ = 0;
};

} // namespace mintknot::relay

#endif
