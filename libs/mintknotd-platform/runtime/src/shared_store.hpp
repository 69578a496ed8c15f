/// @file
/// Access to the store in a large group, where a few instances read it for all.
#ifndef MINTKNOT_RUNTIME_SHARED_STORE_HPP
#define MINTKNOT_RUNTIME_SHARED_STORE_HPP

#include <mintknot/event/loop.hpp>
#include <mintknot/logging/line_log.hpp>
#include <mintknot/policy/group.hpp>
#include <mintknot/state/change_message.hpp>
#include <mintknot/state/store.hpp>
#include <mintknot/upstream/call.hpp>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace mintknot::runtime {

/// Who reads the store, and how other instances reach the readers.
struct shared_store_options {
    std::string own_host;
    std::uint16_t peer_port = 0;
    std::function<policy::store_access()> access;
    /// @return the time from which the data of a collection is too old to rely
    /// on readers; nullopt: never. The function may be empty.
    std::function<std::optional<base::steady_time>(state::collection)>
        overdue_from;
};

/// Watches are sent to two readers of the data centre in turn, so that a reader
/// that no longer receives changes delays them by one short watch only. A
/// reader that fails or cannot reach the store is skipped for some time. If no
/// reader is left, or if this instance is a reader, the store itself is asked.
/// Instances that do not use the store as a fallback wait as long as readers
/// answer at all.
///
/// If a confirmation is overdue, each instance sends a watch to the store
/// itself from time to time and stops waiting for the current reader: all
/// readers of a data centre may be cut off from the store without having
/// noticed.
///
/// Full reads go to the store, which has the fastest link, unless readers are
/// to serve them; a reader that has not read the collection yet is then asked
/// again for some seconds. Writes always go to the store.
///
/// Lifetime: all arguments must outlive it.
class shared_store final : public state::store {
public:
    shared_store(
        event::loop& owner, state::store& source,
        upstream::connection_pool& pool, logging::line_log& log,
        shared_store_options options);
    ~shared_store() override;
    shared_store(const shared_store&) = delete;
    shared_store& operator=(const shared_store&) = delete;

    void read(state::collection what, state::store_handler on_answer) override;
    void watch(
        state::collection what, std::uint64_t after, base::milliseconds wait,
        state::store_handler on_answer) override;
    void write(
        state::collection what, const std::string& key, std::uint64_t expected,
        const std::string& text, state::write_handler on_answer) override;

private:
    struct peer_watch;

    std::vector<std::string>
    trusted_readers(std::vector<std::string> hosts) const;
    bool is_reader(const policy::store_access& access) const;
    /// @return true if a reader has recently answered that it cannot reach the
    /// store.
    bool reader_reported_recently() const;
    /// @return true if the next watch goes to the store instead of a reader.
    bool skips_readers(state::collection what);
    std::optional<base::steady_time> overdue_from(state::collection what) const;
    bool overdue(state::collection what) const;
    /// @return how long to wait for the answer of the current reader.
    base::milliseconds reader_timeout(const peer_watch& entry) const;
    /// The current reader has not answered in time.
    void on_limit(std::uint64_t number, const std::string& host);
    /// @return true if a full read goes to readers. False after they could not
    /// serve it for some seconds.
    bool
    reads_from_readers(state::collection what, const policy::store_access&);
    void start_watch(std::unique_ptr<peer_watch> entry);
    /// Asks the store because no reader has answered.
    void ask_store(std::uint64_t number);
    void ask_next(std::uint64_t number);
    void finish(std::uint64_t number, const std::string& host);
    void give_up(std::uint64_t number, const std::string& host);

    event::loop& owner_;
    state::store& source_;
    upstream::connection_pool& pool_;
    logging::line_log& log_;
    shared_store_options options_;
    std::uint64_t last_number_ = 0;
    std::map<std::uint64_t, std::unique_ptr<peer_watch>> open_;
    std::map<std::string, base::steady_time> backed_off_until_;
    /// When a reader last answered that it cannot reach the store.
    base::steady_time unreachable_reported_at_{};
    /// Last watch that was sent to the store because of an overdue
    /// confirmation.
    std::map<state::collection, base::steady_time> last_direct_watch_;
    /// Watches so far. The readers take turns separately for each collection.
    std::map<state::collection, std::size_t> watch_count_;
    /// Since when full reads have been tried at readers without success.
    std::map<state::collection, base::steady_time> reading_since_;
};

} // namespace mintknot::runtime

#endif
