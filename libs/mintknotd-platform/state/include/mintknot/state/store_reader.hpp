/// @file
/// Follows one collection of the store.
#ifndef MINTKNOT_STATE_STORE_READER_HPP
#define MINTKNOT_STATE_STORE_READER_HPP

#include <mintknot/event/loop.hpp>
#include <mintknot/state/replica.hpp>

#include <cstdint>
#include <functional>
#include <optional>

namespace mintknot::state {

/// Times of a reader.
struct reader_options {
    /// How long one watch is held. It bounds how long a watch whose answer
    /// was lost keeps the reader blind.
    base::milliseconds wait{6000};
    /// The same while the store is out of reach, so that its return is noticed
    /// although there is nothing new.
    base::milliseconds wait_when_lost{50};
    base::milliseconds initial_backoff{60};
    base::milliseconds max_backoff{800};
    /// Changes that follow each other more closely are fetched together: each
    /// call to the store has a price.
    base::milliseconds gather{300};
    /// Delay of the second full read after the store was restored from a
    /// backup. By then lost rows have been written again and rows that nobody
    /// renews have expired.
    base::milliseconds reread_delay{6000};
};

/// Reads everything once, then follows the changes; reads everything again
/// only where the store has forgotten them. Calls that fail are repeated
/// after a growing pause.
class store_reader {
public:
    /// @param draw uniform in [0, 1), spreads the pauses of instances.
    store_reader(
        event::loop& owner, store& source, replica& target, collection what,
        logging::line_log& log, const reader_options& options,
        std::function<double()> draw);

    void start();
    /// It may be started again, and then goes on from what it has read.
    void stop();
    /// Changes how long a watch is held, from the next call on.
    void set_wait(base::milliseconds wait);
    /// Changes how long changes are gathered, likewise.
    void set_gather(base::milliseconds gather);
    /// Calls the handler when the store answers again after it has been out of
    /// reach, before what it answers is taken.
    void on_return(std::function<void()> handler);
    /// Calls the handler after position() may have changed.
    void on_position(std::function<void()> handler);
    /// @return how long ago the store last answered.
    base::milliseconds silence() const;
    /// @return the version up to which everything has been read; nothing before
    /// the first whole read and while the store is out of reach.
    std::optional<std::uint64_t> position() const;
    /// @return the last moment at which nothing newer than what is known here
    /// existed; nothing: it has never been told. What cannot be read counts as
    /// not known.
    std::optional<base::steady_time> confirmed() const { return confirmed_; }

private:
    void next();
    void on_read(const store_answer& answer);
    void on_watch(const store_answer& answer);
    void on_good_answer();
    /// The answer has been taken.
    void note_confirmed(const store_answer& answer);
    /// Schedules the second full read. @param old_position position before the
    /// restore.
    void note_restore(std::uint64_t old_position);
    void tell_position();
    void pause(store_result why);

    event::loop& owner_;
    store& source_;
    replica& target_;
    collection what_;
    logging::line_log& log_;
    reader_options options_;
    std::function<double()> draw_;
    std::function<void()> on_return_;
    std::function<void()> on_position_;
    event::timer timer_;
    bool stopped_ = false;
    bool waiting_ = false; ///< A call is under way.
    bool whole_read_ = false;
    std::uint64_t seen_ = 0; ///< Changes up to here have been taken.
    /// Time of the second full read after a restore.
    std::optional<base::steady_time> reread_at_;
    base::milliseconds backoff_{0};
    std::optional<base::steady_time> confirmed_;
    bool reachable_ = true;
    base::steady_time heard_{};
    base::steady_time asked_{};
};

} // namespace mintknot::state

#endif
