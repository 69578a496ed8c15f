/// @file
/// Whether an engine is still the process that its row tells of.
#ifndef MINTKNOT_RELAY_LIFE_CHECK_HPP
#define MINTKNOT_RELAY_LIFE_CHECK_HPP

#include <mintknot/relay/dialect.hpp>
#include <mintknot/upstream/call.hpp>

#include <functional>
#include <memory>
#include <string>

namespace mintknot::relay {

/// Asks an engine for its report, which tells when its process began. An engine
/// may start again under its ID with another version of its software while
/// nobody can read its row. Used only on the event loop's thread; destroying it
/// cancels the check.
class life_check {
public:
    /// @param row the engine as its row tells of it.
    life_check(
        event::loop& owner, upstream::connection_pool& pool,
        const dialect& protocol, const traffic::server& row);

    /// @param then called once, never from within start(), with true if the
    /// engine has answered that it is that process; it may destroy the check.
    void start(std::function<void(bool same)> then);

private:
    void on_report();
    void finish(bool same);

    upstream::connection_pool& pool_;
    const dialect& protocol_;
    traffic::server row_;
    std::function<void(bool same)> then_;
    event::timer timer_;
    std::string body_;
    std::unique_ptr<upstream::call> call_;
};

} // namespace mintknot::relay

#endif
