/// @file
/// The agreed configuration in the platform's table service.
#ifndef MINTKNOT_CONFIG_CONFIG_STORE_HPP
#define MINTKNOT_CONFIG_CONFIG_STORE_HPP

#include <mintknot/base/refusal.hpp>
#include <mintknot/config/catalogue.hpp>
#include <mintknot/table_service/table_client.hpp>

#include <absl/status/statusor.h>

#include <optional>
#include <string>
#include <vector>

namespace mintknot::config {

/// A change that an operator asks for.
struct change_request {
    change wanted; ///< Revision is filled in by the store.
    /// Revision that the resource must have: 0, it must not exist; nothing,
    /// any.
    std::optional<std::uint64_t> expected_revision;
};

/// How a change ended. On a conflict, `current` is the resource as it stands.
struct change_outcome {
    std::uint64_t revision = 0; ///< Not 0: accepted as this revision.
    std::optional<base::refusal> refused;
    std::optional<resource> current;
};

/// One transaction for each change: the resource, the head revision and a log
/// entry. A lost answer is read back by the change ID.
///
/// Thread: all functions may be called from any thread; they block.
class config_store {
public:
    /// @param log_kept how many log entries stay in the table.
    config_store(table_service::table_client& platform, std::uint64_t log_kept);

    change_outcome write(const change_request& request);

    /// @return the newest revision.
    absl::StatusOr<std::uint64_t> head();

    /// @return the log entries after a revision; OutOfRange if some are gone.
    absl::StatusOr<std::vector<change>> changes_since(std::uint64_t revision);

    /// @return the whole configuration.
    absl::StatusOr<catalogue> load();

    /// @return the change with that ID among the kept log entries, or NotFound.
    absl::StatusOr<change> find_change(const std::string& change_id);

private:
    /// One transaction on what stands now. @return nothing: try again.
    /// @param answer_lost whether the answer to a try has been lost.
    std::optional<change_outcome>
    try_write(change_request& request, bool& answer_lost);

    table_service::table_client& platform_;
    std::uint64_t log_kept_;
};

} // namespace mintknot::config

#endif
