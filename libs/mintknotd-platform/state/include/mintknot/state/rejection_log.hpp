/// @file
/// Which rejections of documents are logged.
#ifndef MINTKNOT_STATE_REJECTION_LOG_HPP
#define MINTKNOT_STATE_REJECTION_LOG_HPP

#include <mintknot/base/time.hpp>

#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace mintknot::state {

/// Another writer may put a row that cannot be read into the store again and
/// again: each document gets one line within min_interval.
class rejection_log {
public:
    static constexpr base::milliseconds min_interval{10000};

    /// Counts a rejection. @return how many there were since the latest line,
    /// this one included, if a line is due.
    std::optional<std::int64_t>
    note(const std::string& document, base::steady_time now);

private:
    /// Bounds what is remembered; all is forgotten beyond it.
    static constexpr std::size_t max_documents = 1024;

    struct entry {
        base::steady_time logged;
        std::int64_t unlogged = 0;
    };
    std::map<std::string, entry> entries_;
};

} // namespace mintknot::state

#endif
