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
#include <vector>

namespace mintknot::relay {

class end_check;

/// A caller's request whose body has been received completely.
struct caller_request {
    http1::request_head head;
    std::shared_ptr<const std::string> body;
    request_metadata terms;
    base::steady_time arrived;
    /// The organisation that the caller's key belongs to, in the configuration
    /// that the request was routed by; null if there is none.
    const traffic::organisation* organisation = nullptr;
};

/// What a request that is refused for want of capacity would have taken.
struct wanted_capacity {
    double cost = 1.0; ///< Decode memory in tokens; 1 for a plain call.
    policy::capacity_forecast forecast;
    /// Until capacity is free behind all who wait; nothing: not known.
    std::optional<base::milliseconds> expected_wait;
};

/// Receives the answer to a request. The last call is exactly one of
/// send_complete(), end() and abort(). No function is called after
/// exchange::on_caller_disconnected().
class answer_sink {
public:
    virtual ~answer_sink() = default;

    /// Sends a complete answer.
    virtual void send_complete(http1::response_head head, std::string body) = 0;
    /// Sends the head of a streamed answer; data() and end() follow. The sink
    /// chooses the framing unless the head demands framing::close.
    virtual void begin(http1::response_head head) = 0;
    virtual void data(std::string_view bytes) = 0;
    virtual void end() = 0;
    /// Ends a streamed answer so that the caller detects it as incomplete.
    virtual void abort() = 0;
    /// @return true if too much of the answer is unsent because the caller
    /// reads slowly; exchange::on_sink_writable() is called once that has
    /// changed.
    virtual bool congested() const = 0;
};

/// Base class of the exchanges: deadline, usage limits, verdict and the answers
/// that the router itself gives. The sink must outlive the exchange.
class exchange {
public:
    virtual ~exchange();
    exchange(const exchange&) = delete;
    exchange& operator=(const exchange&) = delete;

    /// Starts the exchange: requests a usage grant if the organisation has a
    /// limit, then calls run(). The sink may be called before this returns.
    void start();
    /// Cancels the exchange because the caller's connection has ended.
    void on_caller_disconnected();
    /// Refuses the request at once if the instance is stopping, the request
    /// has not run, and it may not go to a server any more.
    void refuse_if_too_late();
    /// Ends the exchange with an answer because the instance ends.
    void end_at_stop();
    /// Resumes reading from the server: the sink is no longer congested.
    virtual void on_sink_writable() = 0;

protected:
    exchange(
        router_context& context, answer_sink& sink, caller_request request,
        std::shared_ptr<const traffic::configuration> config,
        const traffic::route& route, const traffic::service& service);

    virtual void run() = 0;
    /// Runs the exchange once it is known at which software version a stream
    /// that the caller takes up may go on; refuses it if that is not known.
    void run_at_version();
    /// To be called before the first event of a stream goes to the caller: from
    /// then on the stream goes on at this version only.
    void note_stream_begun(const std::string& version);
    /// @return true if the stream cannot use the server: another version of the
    /// software began it.
    bool is_other_version(const traffic::server& server) const;
    /// @return true if no server that takes requests has the version that the
    /// stream needs. @param suits whether a server could run the request.
    bool is_version_gone(bool (*suits)(traffic::engine_phase phase)) const;
    /// Ends an exchange whose stream cannot go on for want of such a server.
    void end_without_version();
    /// Cancels all calls to servers that are in flight.
    virtual void cancel_calls() = 0;
    /// @return true if a call that is in flight may be running the request.
    virtual bool may_be_running() const = 0;

    /// @return the deadline that the caller states, from the arrival, or one
    /// beyond the timeout of any route.
    base::milliseconds caller_deadline() const;
    base::milliseconds time_left() const;
    base::milliseconds since_arrival() const;
    /// Raises the verdict to `seen` if that is higher; never lowers it.
    void raise_verdict(base::verdict seen);

    /// Ends the exchange with an error answer by the router. The status follows
    /// from the verdict: only `not_run` yields a status that promises that the
    /// request has not run.
    void give_up(std::string_view reason);
    /// As above. @param retry_after when the caller may retry; sent only if the
    /// request has not run.
    void give_up(std::string_view reason, base::milliseconds retry_after);
    /// Ends the exchange with an error answer by the router. The given status
    /// promises that the request has not run.
    void refuse(
        int status, std::string_view reason,
        std::optional<base::milliseconds> retry_after);
    /// Ends the exchange because the servers have no capacity for it. The
    /// request must not have run. @param wanted what the request would take.
    void refuse_for_capacity(const wanted_capacity& wanted);
    /// @return the Retry-After within what the caller can use
    /// (policy::bounded_retry_after()) while capacity is shared; else as given.
    base::milliseconds usable_retry_after(base::milliseconds retry_after) const;
    /// @return the claim of the request; nothing unless capacity is shared.
    std::optional<policy::capacity_claim> claim(bool waiting, bool begun) const;
    /// Checks, before each send, that the request may still go to a server: the
    /// caller's key may have been revoked or the request blocked while it
    /// waited. @return false if it may not; the exchange has then ended.
    bool ensure_allowed();
    /// @return the block that forbids to send the request; empty: none.
    std::optional<crash_block> find_block() const;
    /// @return the priority of the organisation or, if it has none, of the
    /// route.
    int priority() const;
    /// Ends the exchange with a server's complete answer.
    void deliver_answer(http1::response_head head, std::string body);
    /// Records how much is held of an answer that is not whole yet.
    /// @return false if that is too much beside what other requests hold.
    bool hold(std::size_t bytes);
    void record_first_byte();
    /// Records that a call of this request is sent to a server.
    void record_send();
    /// @return true if the deadline of the request is shorter than that of a
    /// first try, so that the caller must have been refused before.
    bool is_caller_retry() const;
    void end_answer(std::string_view outcome);
    void abort_answer(std::string_view reason);
    /// Ends the exchange as a policy step demands. @param what give_up or
    /// break_off.
    void end_with_action(policy::action what, std::string_view reason);

    /// Logs and reports a call whose connection ended before the answer was
    /// complete. @param answer_just_begun see broken_call.
    void record_broken_call(
        const std::string& server_id, upstream::call_failure why,
        base::steady_time sent, bool answer_just_begun) const;
    /// Finds out whether a server lives whose answer has ended with its
    /// connection, and so perhaps with the server.
    /// @param then told that the answer is whole if the server lives. Not
    /// called from within this function, nor once end_check_ is reset.
    void check_end(
        const upstream::target& server, std::function<void(bool whole)> then);

    /// Reports that a server goes on writing the answer.
    void record_sound() const;
    /// Reports that a server has run the request and sent a complete answer.
    void record_complete_answer() const;

    /// @return true if the answer belongs to this request. On a reused
    /// connection a surplus answer may arrive first: to an earlier request, or,
    /// without an ID, to a call of the router's own. Only the rejection of a
    /// request that could not be read lacks the ID, too.
    bool is_answer_to_request(const http1::response_head& head) const;

    /// Logs a line that tells, beside its fields, by which configuration the
    /// request was routed, which one is in force, how late timers of this
    /// instance have been, and the age of the request.
    void log_with_state(
        std::string_view event, std::vector<logging::log_field> fields) const;

    std::string organisation_name() const; ///< Empty if none.
    call_parameters call_options_for(const traffic::server& server) const;
    /// @return the urgency that engines are told; nothing unless capacity is
    /// shared and streams of the service have different priorities.
    std::optional<int> urgency() const;
    upstream::call_request call_for(const call_parameters& options) const;

    router_context& context_;
    answer_sink& sink_;
    caller_request request_;
    std::shared_ptr<const traffic::configuration> config_;
    const traffic::route& route_;
    const traffic::service& service_;
    base::verdict verdict_ = base::verdict::not_run;
    policy::attempts attempts_;
    bool finished_ = false;
    std::unique_ptr<end_check> end_check_; ///< Null: none is under way.
    std::size_t held_bytes_ = 0;           ///< See hold().
    int sends_ = 0; ///< Number of calls that may have reached a server.
    /// Software version at which the stream goes on; empty text: unknown, and
    /// then nowhere. Nothing: the stream has not begun.
    std::optional<std::string> stream_version_;
    /// Longest time between two events that were forwarded to the caller.
    base::milliseconds longest_gap_{0};

private:
    /// Checks that the key still belongs to the same organisation, unless the
    /// request may have run already.
    /// @return false if it does not; the exchange has then ended.
    bool ensure_key_valid();
    /// @return false if the request is blocked; the exchange has then ended.
    bool ensure_not_blocked();
    /// @return false if the request is refused because the instance is
    /// stopping; the exchange has then ended.
    bool ensure_in_time();
    void on_deadline();
    /// Raises the verdict if a call that is about to be cancelled may be
    /// running the request.
    void note_running_calls();
    void on_origin(const origin_answer& answer);
    void log_taken_up(const origin_answer& answer) const;
    void request_usage();
    void on_usage_grant(const usage_grant& grant);
    /// Refunds the grant of a request that has not run.
    void return_usage();
    void send_router_answer(
        int status, std::string_view reason,
        std::optional<base::milliseconds> retry_after);
    void finish(std::string_view outcome);
    /// @return the digest if the request was refused or the caller was refused
    /// before, else nothing: only those tries have to be linked to others, and
    /// the digest costs a hash of the body.
    std::string_view
    digest_for_log(std::string_view outcome, bool caller_retry) const;

    request_identity identity_;
    event::timer deadline_timer_;
    base::steady_time deadline_;
    std::unique_ptr<usage_ticket> usage_ticket_;
    std::unique_ptr<ticket> origin_ticket_;
    usage_grant usage_;
    base::milliseconds first_byte_{0};
    /// Time from the arrival of the request to its first call.
    std::optional<base::milliseconds> first_send_;
};

/// @return an exchange for a request to the given route and service.
std::unique_ptr<exchange> make_exchange(
    router_context& context, answer_sink& sink, caller_request request,
    const std::shared_ptr<const traffic::configuration>& config,
    const traffic::route& route, const traffic::service& service);

/// @return the serialized refusal of a request that no exchange was created
/// for.
std::string serialize_refusal(
    const router_context& context, int status, const std::string& request_id,
    std::string_view reason, std::optional<base::milliseconds> retry_after,
    bool keep_alive);

} // namespace mintknot::relay

#endif
