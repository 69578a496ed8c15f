/// @file
/// The bounded memory of recent decisions of one instance.
#ifndef MINTKNOT_AUDIT_DECISION_LOG_HPP
#define MINTKNOT_AUDIT_DECISION_LOG_HPP

#include <mintknot/audit/decision.hpp>

#include <cstddef>
#include <memory>
#include <string>
#include <vector>

namespace mintknot::audit {

/// Keeps the newest decisions; the oldest go first.
/// Thread: all functions may be called from any thread.
class decision_log {
public:
    /// @param most_kept bound of the number of records, at least 1.
    explicit decision_log(std::size_t most_kept);
    ~decision_log();
    decision_log(const decision_log&) = delete;
    decision_log& operator=(const decision_log&) = delete;

    void record(decision entry);

    /// @return the kept decisions about a request, oldest first.
    std::vector<decision> find(const std::string& request) const;

    /// @return the newest decisions, oldest of them first.
    std::vector<decision> recent(std::size_t most) const;

    std::size_t size() const;

private:
    struct impl;
    std::unique_ptr<impl> impl_;
};

} // namespace mintknot::audit

#endif
