/// @file
/// One request of a caller, from its arrival to the end of its answer.
#ifndef MINTKNOT_RELAY_EXCHANGE_HPP
#define MINTKNOT_RELAY_EXCHANGE_HPP

#include <mintknot/base/verdict.hpp>
#include <mintknot/event/loop.hpp>
#include <mintknot/policy/attempts.hpp>
#include <mintknot/relay/router_state.hpp>
#include <mintknot/upstream/call.hpp>

#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace mintknot::relay {

/// A caller's request, read whole.
struct caller_request {
    http1::request_head head;
    std::shared_ptr<const std::string> body;
    request_metadata terms;
    base::steady_time arrived;
    /// Whose request it is, in the configuration that it was routed by; null:
    /// nobody's.
    const traffic::organisation* organisation = nullptr;
};

/// Where an answer goes. Exactly one of whole(), end() and break_off() is
/// called last; nothing is called after caller_left().
class answer_sink {
public:
    virtual ~answer_sink() = default;

    /// Sends an answer that is complete.
    virtual void whole(http1::response_head head, std::string body) = 0;
    /// Sends a head; data() and end() follow. The framing is chosen here,
    /// unless the head says framing::close.
    virtual void begin(http1::response_head head) = 0;
    virtual void data(std::string_view bytes) = 0;
    virtual void end() = 0;
    /// Ends an answer so that it cannot be taken for a complete one.
    virtual void break_off() = 0;
    /// @return true if the caller reads too slowly; drained() follows.
    virtual bool congested() const = 0;
};

/// Common part of the kinds of exchanges. The sink outlives the exchange.
class exchange {
public:
    virtual ~exchange();
    exchange(const exchange&) = delete;
    exchange& operator=(const exchange&) = delete;

    /// Begins: asks whether the organisation may use so much, then runs. The
    /// sink may be called from within.
    void start();
    /// The caller's connection has ended.
    void caller_left();
    /// The sink is no longer congested.
    virtual void drained() = 0;

protected:
    exchange(
        router_context& context, answer_sink& sink, caller_request request,
        std::shared_ptr<const traffic::configuration> config,
        const traffic::route& route, const traffic::service& service);

    virtual void run() = 0;
    /// Cancels what is in flight at servers.
    virtual void cancel_calls() = 0;
    /// @return true if a call is in flight that may run the request.
    virtual bool may_be_running() const = 0;

    base::milliseconds time_left() const;
    base::milliseconds since_arrival() const;
    /// Raises the verdict; it is never lowered.
    void raise(base::verdict seen);

    /// Ends the exchange with an answer of the router's own. The status
    /// follows from the verdict: only `not_run` promises that it has not run.
    void give_up(std::string_view reason);
    /// The same with the time after which a caller may come back.
    void give_up(std::string_view reason, base::milliseconds come_back);
    /// Ends the exchange with an answer of the router's own with that status,
    /// which promises that the request has not run.
    void refuse(
        int status, std::string_view reason,
        std::optional<base::milliseconds> come_back);
    /// Looks again, before each send, whether the request may go to a server:
    /// the caller's key may have been taken away while the request waited, or
    /// the request been blocked. @return false if it may not; the exchange has
    /// ended then.
    bool still_allowed();
    /// @return the priority of the organisation, or else of the route.
    int priority() const;
    /// Ends the exchange with a server's answer.
    void answer_whole(http1::response_head head, std::string body);
    void note_first_byte();
    /// A call of the request goes out to a server.
    void note_offer();
    /// @return whether the caller has been refused before, by its deadline.
    bool returned() const;
    void end_answer(std::string_view outcome);
    void break_answer(std::string_view reason);
    /// Ends the exchange as a step says. @param what give_up or break_off.
    void end_by(policy::action what, std::string_view reason);

    /// A call to a server has ended before its answer did.
    void note_broken_call(
        const std::string& server_id, base::steady_time sent) const;
    /// A server has run the request and its answer is whole.
    void note_whole_answer() const;

    /// @return true if an answer is this request's own: a surplus answer to an
    /// earlier one may come first. A rejection may lack the ID.
    bool belongs(const http1::response_head& head) const;

    std::string organisation_name() const; ///< Empty: nobody's.
    call_parameters terms_for(const traffic::server& server) const;
    upstream::call_request call_for(const call_parameters& terms) const;

    router_context& context_;
    answer_sink& sink_;
    caller_request request_;
    std::shared_ptr<const traffic::configuration> config_;
    const traffic::route& route_;
    const traffic::service& service_;
    base::verdict verdict_ = base::verdict::not_run;
    policy::attempts attempts_;
    bool finished_ = false;
    int sends_ = 0; ///< Calls that may have reached a server.

private:
    bool key_still_good();
    /// @return false if the request is blocked; the exchange has ended then.
    bool not_blocked();
    void on_deadline();
    void ask_for_usage();
    void on_usage(const usage_grant& told);
    /// Returns what was granted to a request that has not run.
    void return_usage();
    void end_with(
        int status, std::string_view reason,
        std::optional<base::milliseconds> retry_after);
    void finish(std::string_view outcome);

    request_identity identity_;
    event::timer deadline_timer_;
    base::steady_time deadline_;
    std::unique_ptr<usage_ticket> usage_ticket_;
    usage_grant usage_;
    base::milliseconds first_byte_{0};
    /// From the arrival to the first call.
    std::optional<base::milliseconds> first_offer_;
};

/// @return an exchange for a request of the route.
std::unique_ptr<exchange> make_exchange(
    router_context& context, answer_sink& sink, caller_request request,
    const std::shared_ptr<const traffic::configuration>& config,
    const traffic::route& route, const traffic::service& service);

/// @return the answer to a request that no exchange was made for.
std::string refusal_text(
    const router_context& context, int status, const std::string& request_id,
    std::string_view reason, std::optional<base::milliseconds> retry_after,
    bool keep_alive);

} // namespace mintknot::relay

#endif
