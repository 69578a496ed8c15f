/// @file
/// Cancels that are kept until the engine has confirmed them.
#ifndef MINTKNOT_ENTRY_CANCEL_QUEUE_HPP
#define MINTKNOT_ENTRY_CANCEL_QUEUE_HPP

#include <mintknot/base/address.hpp>
#include <mintknot/base/time.hpp>
#include <mintknot/engine/engine_client.hpp>

#include <cstddef>
#include <functional>
#include <memory>
#include <optional>
#include <stop_token>
#include <string>

namespace mintknot::entry {

/// What one attempt may hold on one engine.
struct held_attempt {
    std::string engine;
    base::address where;
    std::string attempt;
};

/// Sends cancels, again and again until confirmed or until the engine holds
/// nothing any more because it restarted or left the configuration.
///
/// Thread: run() on one thread; add() from any thread, without blocking.
class cancel_queue {
public:
    /// @return the incarnation of an engine as last reported; 0: unknown;
    /// nothing: the engine has gone for good.
    using incarnation_source =
        std::function<std::optional<std::uint64_t>(const std::string& engine)>;

    /// The engine client must outlive the queue.
    cancel_queue(engine::engine_client& engines, incarnation_source source);
    ~cancel_queue();
    cancel_queue(const cancel_queue&) = delete;
    cancel_queue& operator=(const cancel_queue&) = delete;

    void add(held_attempt item);

    /// @return cancels that are not confirmed yet.
    std::size_t size() const;

    /// Serves the queue until the stop; calls `alive` now and then.
    void run(const std::stop_token& stop, const std::function<void()>& alive);

private:
    struct impl;
    std::unique_ptr<impl> impl_;
};

} // namespace mintknot::entry

#endif
