/// @file
/// The store as a large group reads it: a few instances for all.
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

/// Who reads the store, and how the others reach it.
struct shared_store_options {
    std::string own_host;
    std::uint16_t peer_port = 0;
    std::function<policy::store_access()> access;
    /// @return from when on what is known of a collection is so old that the
    /// readers are not enough; nothing: never. May be empty.
    std::function<std::optional<base::steady_time>(state::collection)>
        overdue_from;
};

/// Watches go to two readers of the data centre, to one after the other, so
/// that a reader which hears nothing delays news by one short watch only. A
/// reader that fails or is out of the store's reach is passed over for a
/// while; where none is left, and on a reader, the store itself is asked.
/// Who has others to stand in for the readers waits as long as readers answer.
/// Where a confirmation is overdue, each instance asks the store itself now and
/// then, and does not wait for the reader at hand any longer: all readers of a
/// data centre may hear nothing from the store without knowing it. Whole reads
/// go to the store, whose link is the widest, but where readers are to share
/// theirs: a reader that has not read yet is asked again for some seconds.
/// Writes always go to the store.
///
/// Lifetime: everything that is passed in must outlive it.
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
    bool reads_itself(const policy::store_access& access) const;
    /// @return true if a reader has said that it is out of the store's reach.
    bool has_answered_lately() const;
    /// @return true if a watch is to pass by the readers.
    bool skips_readers(state::collection what);
    std::optional<base::steady_time> overdue_from(state::collection what) const;
    bool overdue(state::collection what) const;
    /// @return how long the reader at hand is waited for.
    base::milliseconds patience_with(const peer_watch& entry) const;
    /// The reader at hand has not answered in time.
    void on_limit(std::uint64_t number, const std::string& host);
    /// @return true if a whole read is to go to readers; not for ever.
    bool shares_read(state::collection what, const policy::store_access&);
    void begin(std::unique_ptr<peer_watch> entry);
    /// No reader has answered.
    void ask_store(std::uint64_t number);
    void ask_next(std::uint64_t number);
    void finish(std::uint64_t number, const std::string& host);
    void give_up(std::uint64_t number, const std::string& host);

    event::loop& owner_;
    state::store& source_;
    upstream::connection_pool& pool_;
    logging::line_log& log_;
    shared_store_options options_;
    std::uint64_t last_ = 0;
    std::map<std::uint64_t, std::unique_ptr<peer_watch>> open_;
    std::map<std::string, base::steady_time> suspected_;
    /// When a reader last said that it is out of the store's reach.
    base::steady_time answered_{};
    /// Past the readers, when overdue.
    std::map<state::collection, base::steady_time> asked_store_;
    /// Watches so far. Each collection takes the readers in turn for itself.
    std::map<state::collection, std::size_t> turns_;
    /// Since when whole reads have been tried at readers in vain.
    std::map<state::collection, base::steady_time> reading_since_;
};

} // namespace mintknot::runtime

#endif
