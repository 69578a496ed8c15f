/// @file
/// One caller's connection.
#ifndef MINTKNOT_RELAY_CALLER_SESSION_HPP
#define MINTKNOT_RELAY_CALLER_SESSION_HPP

#include "memory_claim.hpp"

#include <mintknot/event/connection.hpp>
#include <mintknot/http1/message_parser.hpp>
#include <mintknot/policy/caller_memory.hpp>
#include <mintknot/policy/entry_check.hpp>
#include <mintknot/relay/exchange.hpp>

#include <functional>
#include <memory>
#include <string>

namespace mintknot::relay {

/// Why a caller's connection closed while a request was under way on it.
enum class close_reason {
    caller_left,       ///< The caller closed it.
    connection_broken, ///< Reset, unreachable or silent for too long.
    broken_off,        ///< The answer had begun, and could not be completed.
    behind_answer,     ///< An answer ended it; the next request was not read.
    stopped            ///< The instance reached the end of its grace period.
};

std::string_view to_string(close_reason reason) noexcept;

class caller_session;

/// What a session asks of the server that owns it.
struct session_owner {
    /// The session has ended; the call may destroy it.
    std::function<void(caller_session&)> on_end;
    /// The session holds more than there is room for: others may give way.
    std::function<void(caller_session&)> make_room;
};

/// Reads requests from a connection and answers them strictly in order. Reading
/// continues while a request is answered, up to a bounded number of buffered
/// bytes, so that a disconnect of the caller is noticed immediately.
class caller_session final
    : public answer_sink,
      public std::enable_shared_from_this<caller_session> {
public:
    caller_session(
        router_context& context, event::connection_ptr link,
        session_owner owner);
    ~caller_session() override;

    void start();
    /// @return true if no part of a request is being read or answered.
    bool idle() const noexcept;
    bool closed() const noexcept { return closed_; }
    /// @return when the last answer was completed or, before the first answer,
    /// when the connection was accepted.
    base::steady_time idle_since() const noexcept { return idle_since_; }
    void close();
    /// @return what it holds, and what it has moved lately, if it can be ended
    /// in favour of others.
    std::optional<policy::held_connection> may_give_way() const;
    /// Refuses the request that is being read, or drops the answers that the
    /// caller does not read.
    void give_way();
    std::size_t held_bytes() const noexcept { return claim_.bytes(); }
    const event::connection_ptr& link() const noexcept { return link_; }
    /// Refuses the request under way if it can no longer be answered before
    /// the instance ends.
    void refuse_if_too_late();
    /// Answers the request under way because the instance ends.
    void end_at_stop();
    /// Logs and counts that the connection closes if a request is under way.
    void record_close(close_reason reason) const;

    void send_complete(http1::response_head head, std::string body) override;
    void begin(http1::response_head head) override;
    void data(std::string_view bytes) override;
    void end() override;
    void abort() override;
    bool congested() const override;

private:
    void on_data(std::string_view bytes);
    void on_end(event::connection_end how);
    void on_drained();
    /// Parses what has been received but for what the parser cannot use yet.
    void parse(std::string_view received);
    void parse_pending();
    void on_head();
    void on_request();
    /// Answers without an exchange, then closes the connection.
    void refuse(
        int status, std::string_view reason,
        std::optional<base::milliseconds> retry_after);
    void refuse_bad_request();
    /// Brings what the connection holds into the account of all.
    void update_claim();
    /// Gives the connection the larger receive buffer, or the smaller one.
    void set_large_buffer(bool large);
    /// Gives it the larger one if it needs it and there is room.
    void enlarge_buffer();
    /// @return true if the connection may hold that many bytes more.
    bool has_room(std::size_t more) const;
    /// Like update_claim(). @return false if there was no room, so that the
    /// request was refused.
    bool claim_memory();
    /// Lets go of all that has been received. clear() would keep the room.
    void release_buffers();
    void begin_request();
    void drop();
    /// Tells the owner of the end once no function of the session runs.
    void end_later();
    void tell_end();
    void answer_done();
    void next_request();
    /// Goes on with what has come behind the last request.
    void read_on();
    /// @return the ID of the request under way; empty if its head has not come.
    std::string current_request_id() const;
    void arm_idle_timer();
    void arm_request_timer();
    /// @return true if the connection stays open behind the answer; drawn anew
    /// at each call.
    bool keep_alive();
    policy::entry_conditions
    entry_conditions(const traffic::configuration* config) const;
    /// Answers a completely read request without an exchange; the connection
    /// stays open if keep_alive().
    void refuse_request(
        const caller_request& request, const policy::entry_decision& decision);
    traffic::caller_limits limits() const;

    router_context& context_;
    event::connection_ptr link_;
    session_owner owner_;
    std::unique_ptr<http1::request_parser> parser_;
    std::string pending_; ///< Received but not yet parsed.
    std::string body_;
    bool head_seen_ = false;
    bool answering_ = false; ///< A complete request is being answered.
    /// The next request is not read before the caller has read its answers.
    bool answers_unread_ = false;
    bool request_keep_alive_ = true;
    int minor_version_ = 1;
    memory_claim claim_;
    bool large_buffer_ = false;
    std::size_t head_bytes_ = 0;     ///< Of the request under way.
    std::size_t answered_bytes_ = 0; ///< Of its body while it is answered.
    policy::transfer_progress progress_;
    std::size_t answered_ = 0; ///< Requests on this connection.
    std::string request_id_;   ///< Valid while `answering_`.
    base::steady_time request_began_;
    base::steady_time idle_since_;
    std::unique_ptr<exchange> exchange_;
    http1::framing framing_ = http1::framing::none;
    bool closed_ = false;
    event::timer timer_;
};

} // namespace mintknot::relay

#endif
