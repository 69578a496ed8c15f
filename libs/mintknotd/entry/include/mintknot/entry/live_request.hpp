/// @file
/// A request that is running or was finished a moment ago.
#ifndef MINTKNOT_ENTRY_LIVE_REQUEST_HPP
#define MINTKNOT_ENTRY_LIVE_REQUEST_HPP

#include <mintknot/entry/completion_call.hpp>
#include <mintknot/entry/request_state.hpp>
#include <mintknot/net/http_client.hpp>

#include <condition_variable>
#include <cstddef>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

namespace mintknot::entry {

/// What a reader finds from an offset on.
struct answer_piece {
    std::vector<std::string> tokens; ///< From the asked offset on.
    bool ended = false;
    engine::finish_reason finish = engine::finish_reason::none;
    std::optional<base::refusal> failed;
};

/// Joins the thread that runs a request with the threads that read its answer.
/// Thread: all functions may be called from any thread.
class live_request {
public:
    /// @param first_offset offset of the first token that will arrive: not 0
    /// for the copy of a stream that another instance holds.
    explicit live_request(completion_call call, std::uint64_t first_offset = 0);
    live_request(const live_request&) = delete;
    live_request& operator=(const live_request&) = delete;

    const completion_call& call() const noexcept { return call_; }
    const std::string& id() const noexcept { return id_; }

    /// A copy of the state without the tokens.
    request_state summary() const;
    /// @return the offset after the last token.
    std::uint64_t tokens() const;
    /// @return the text of all tokens so far.
    std::string text() const;
    bool ended() const;

    void begin_attempt(const std::string& attempt);
    void enter(request_phase phase, base::verdict run);
    bool accept_token(
        const std::string& attempt, std::uint64_t offset, std::string text);
    bool complete(const std::string& attempt, engine::finish_reason finish);
    bool fail(base::refusal why);

    /// Waits until there is something from the offset on, or for the time.
    answer_piece wait_from(std::uint64_t offset, base::milliseconds longest);

    /// Readers are counted, so that an answer that nobody reads is seen.
    void add_reader();
    void remove_reader();
    /// @return how long nobody has read; 0 while someone reads.
    base::milliseconds unread_for() const;

    /// Ends the request soon: the running engine call is broken.
    void cancel(base::reason why);
    /// @return none until cancel() was called.
    base::reason cancelled() const;

    /// A canceller for the next engine call; cancel() breaks that call.
    std::shared_ptr<net::call_canceller> next_canceller();

private:
    const completion_call call_;
    const std::string id_;
    mutable std::mutex mutex_;
    std::condition_variable changed_;
    request_state state_;
    int readers_ = 0;
    base::steady_time unread_since_;
    base::reason cancelled_ = base::reason::none;
    std::shared_ptr<net::call_canceller> canceller_;
};

} // namespace mintknot::entry

#endif
