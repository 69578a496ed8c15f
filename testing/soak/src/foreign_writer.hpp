/// @file
/// Another writer of the store's table of servers.
#ifndef MINTKNOT_SOAK_FOREIGN_WRITER_HPP
#define MINTKNOT_SOAK_FOREIGN_WRITER_HPP

#include "document_mutator.hpp"

#include <mintknot/event/loop.hpp>
#include <mintknot/upstream/call.hpp>

#include <cstdint>
#include <memory>
#include <string>

namespace mintknot::soak {

/// Writes rows of servers that do not exist, most of them malformed, drawn by a
/// seed.
///
/// Lifetime: the loop must outlive it.
class foreign_writer {
public:
    foreign_writer(event::loop& owner, base::address store, std::uint64_t seed);

    void start();
    void stop();
    /// @return the number of rows that the store has taken.
    std::size_t taken() const { return taken_; }

private:
    void write_next();
    void send(const std::string& key, const std::string& text);

    event::loop& owner_;
    base::address store_;
    upstream::connection_pool pool_;
    event::timer timer_;
    std::unique_ptr<upstream::call> call_;
    fuzz::document_mutator mutator_;
    std::size_t written_ = 0;
    std::size_t taken_ = 0;
};

} // namespace mintknot::soak

#endif
