/// @file
/// Blocks requests with parts of prompts that crash engines, with the other
/// instances.
#ifndef MINTKNOT_CRASHES_PART_WATCH_HPP
#define MINTKNOT_CRASHES_PART_WATCH_HPP

#include "crash_messages.hpp"
#include "part_messages.hpp"

#include <mintknot/crashes/crash_watch.hpp>
#include <mintknot/event/loop.hpp>
#include <mintknot/relay/router_state.hpp>

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace mintknot::crashes {

/// Evaluates reports of crashes by the rules of policy/part_evidence.hpp.
/// Before a part is blocked, all instances are asked when it was last sound; a
/// new block is announced to all at once, and resent to a few periodically, so
/// that instances that start learn of it. Sends nothing while no engine ends.
///
/// Used only on the event loop's thread. The router and everything that the
/// callbacks refer to must outlive it.
class part_watch {
public:
    /// @param counts_from crashes before this time do not count.
    part_watch(
        relay::router_context& router, const crash_watch_callbacks& callbacks,
        base::steady_time counts_from);

    /// Takes a report of this or another instance.
    void record(const crash_report& report);
    /// Records that an engine has answered a request with these parts, or lives
    /// long after the answer began.
    void note_sound(const policy::prompt_parts& parts);
    /// @return the block that applies to a request with these parts; empty:
    /// none.
    std::optional<relay::crash_block>
    find_block(const policy::prompt_parts& parts) const;
    /// @return false if the datagram is not about parts.
    bool receive(const std::string& host, std::string_view datagram);
    /// @return the number of blocks in force.
    std::size_t blocked() const;

private:
    base::steady_time now() const { return router_.loop.now(); }
    void schedule_evaluation();
    /// Asks all instances for the soundness of what would be blocked.
    void evaluate();
    /// Blocks what is still held to be a cause.
    void confirm();
    void resend_blocks();
    void start_resends();
    void send_to_all(const part_message& message);
    void send_to_leaves(const part_message& message);
    void log_block(
        const policy::part_block_entry& block, const std::string& by) const;
    void
    log_cleared(const policy::prompt_parts& parts, const std::string& by) const;

    void
    on_message(const std::string& host, const part_block_announcement& notice);
    void on_message(const std::string& host, const soundness_query& query);
    void on_message(const std::string& host, const soundness_reply& reply);
    void
    on_message(const std::string& host, const part_clear_announcement& notice);

    relay::router_context& router_;
    const crash_watch_callbacks& callbacks_;
    policy::part_evidence evidence_;
    /// For how much longer than others this instance keeps blocks up.
    base::milliseconds trial_delay_;
    event::timer evaluation_timer_;
    event::timer confirmation_timer_;
    event::timer resend_timer_;
    std::size_t resend_rounds_ = 0;
};

} // namespace mintknot::crashes

#endif
