/// @file
/// The configuration in force on this instance, and its recent changes.
#ifndef MINTKNOT_CONFIG_CHANGE_FEED_HPP
#define MINTKNOT_CONFIG_CHANGE_FEED_HPP

#include <mintknot/base/time.hpp>
#include <mintknot/config/catalogue.hpp>

#include <cstddef>
#include <memory>
#include <vector>

namespace mintknot::config {

/// Changes after a revision. `complete` is false if the feed no longer holds
/// some of them; a reader then has to list all resources anew.
struct change_page {
    bool complete = true;
    std::vector<change> changes;
};

/// Holds the catalogue and only ever moves it forward. Watches read from it.
///
/// Thread: all functions may be called from any thread; current() is a
/// pointer copy. Lifetime: a returned catalogue stays valid for its holder.
class change_feed {
public:
    /// @param most_kept how many recent changes are kept for watches.
    explicit change_feed(std::size_t most_kept);
    ~change_feed();
    change_feed(const change_feed&) = delete;
    change_feed& operator=(const change_feed&) = delete;

    std::shared_ptr<const catalogue> current() const;

    /// Applies changes that follow the current revision without a gap; others
    /// are ignored. @return the revision in force afterwards.
    std::uint64_t apply(const std::vector<change>& changes);

    /// Takes a whole catalogue, unless it is older than the current one.
    void reset(catalogue whole);

    /// @return true once a configuration was taken from somewhere.
    bool ready() const;

    change_page since(std::uint64_t revision) const;

    /// Waits until the revision is past the given one, or for the time.
    void wait_beyond(std::uint64_t revision, base::milliseconds longest) const;

    /// Ends all waits, now and from now on.
    void stop();
    bool stopped() const;

private:
    struct impl;
    std::unique_ptr<impl> impl_;
};

} // namespace mintknot::config

#endif
