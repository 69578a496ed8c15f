/// @file
/// This instance's copy of what the store holds.
#ifndef MINTKNOT_STATE_REPLICA_HPP
#define MINTKNOT_STATE_REPLICA_HPP

#include <mintknot/logging/line_log.hpp>
#include <mintknot/state/rejection_log.hpp>
#include <mintknot/state/store.hpp>
#include <mintknot/traffic/configuration.hpp>
#include <mintknot/traffic/server_table.hpp>

#include <absl/status/statusor.h>

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace mintknot::state {

/// Reads documents. Implementations keep no state and decide nothing.
class document_codec {
public:
    virtual ~document_codec() = default;
    virtual absl::StatusOr<traffic::configuration>
    read_configuration(std::string_view text) const = 0;
    virtual absl::StatusOr<traffic::server>
    read_server(const std::string& id, std::string_view text) const = 0;
};

/// Whom the replica tells of changes.
struct replica_handlers {
    std::function<void(std::shared_ptr<const traffic::configuration>)>
        on_configuration;
    std::function<void(
        const std::string& id, std::uint64_t version,
        std::optional<traffic::server>)>
        on_server;
    /// A data centre was closed: nothing is sent to its servers any more; or it
    /// was opened again.
    std::function<void(const std::string& data_centre, bool closed)>
        on_closure{};
    /// A peer knows that a server drains whose row, at the same version or a
    /// later one, was restored from a backup as ready.
    std::function<void(const std::string& id)> on_draining{};
};

/// Documents in memory, by version: news from the store and from peers may
/// come in any order and never lead back. After the store has been restored
/// from a backup, documents missing from the backup are kept until the next
/// full read, removed documents that the backup still holds are ignored until
/// that read or until they are written again, and an older configuration never
/// replaces a newer one. A configuration that cannot be read leaves in force
/// what was; a row of a server that cannot be read names none: the server that
/// the row has told of is taken out of use.
class replica {
public:
    replica(
        const document_codec& codec, logging::line_log& log,
        replica_handlers handlers);

    /// Takes changes. @param source names where they come from, for the log.
    void apply(
        collection what, const std::vector<document>& changes,
        std::string_view source);
    /// Takes all documents as of a version: others are gone by then.
    /// @return true if the store has been restored from a backup since the
    /// previous full read. Nothing is removed then; the caller must repeat the
    /// read after lost documents have been written again.
    bool apply_whole(
        collection what, const std::vector<document>& all,
        std::uint64_t version, std::string_view source);

    /// @return the newest version of any document that was taken.
    std::uint64_t version(collection what) const noexcept;
    /// @return true once the documents have been read at least once.
    bool known(collection what) const noexcept;
    /// @return false while the newest document told of could not be read.
    bool is_current(collection what) const noexcept;

    /// @return true if the first full read came from a store that has been
    /// restored from a backup at some time, and no snapshot of a peer with
    /// history was taken since: peers may know of draining servers that the
    /// backup has as ready, or of a newer configuration.
    bool lacks_history(collection what) const noexcept;
    bool lacks_history() const noexcept;
    /// From now on the snapshot of any peer ends the lack of history.
    void accept_any_history() noexcept;

    /// @return what has changed behind a version, up to another one, which has
    /// been read from the store; nothing if it is no longer all known.
    std::optional<std::vector<document>>
    changes(collection what, std::uint64_t after, std::uint64_t up_to) const;

    /// Tells the handlers of all servers again that are there.
    void tell_servers_again();

    /// @return collections as text, for a peer.
    std::string snapshot(const std::vector<collection>& parts) const;
    /// Takes a peer's snapshot. @return InvalidArgument if it is malformed;
    /// nothing is taken then.
    absl::Status apply_snapshot(std::string_view text, std::string_view source);

    /// @return documents that were looked at to forget removed ones, since the
    /// start.
    std::uint64_t swept() const noexcept { return swept_; }

private:
    struct documents {
        std::unordered_map<std::string, document> by_key;
        std::uint64_t newest = 0;
        /// Newest removed document that is not remembered any more.
        std::uint64_t forgotten = 0;
        std::size_t removed = 0; ///< Removed documents that are remembered.
        /// Newest document that could not be read.
        std::uint64_t rejected = 0;
        bool known = false;
        /// Newest version that was restored from a backup: rows up to it may be
        /// older than the known ones. 0: no restore is being handled.
        std::uint64_t restored_up_to = 0;
        std::uint64_t era = 0; ///< Of the last full read or first snapshot.
        bool lacks_history = false; ///< See replica::lacks_history().
        /// Newest version that the first full read of a store that was restored
        /// at some time has returned; 0: it never was.
        std::uint64_t first_read = 0;
    };

    void forget_removed(documents& all);
    static void remember(documents& all, document taken);

    documents& of(collection what);
    const documents& of(collection what) const;
    const documents& of(collection what, document_kind kind) const;
    documents& of(collection what, document_kind kind);
    void take_closure(const document& change);
    void add_removed(
        const documents& known, const std::vector<document>& all,
        document_kind kind, std::uint64_t version,
        std::vector<document>& changes) const;
    void take(collection what, const document& change, std::string_view source);
    enum class decode_result {
        taken,
        superseded, ///< The known content is newer despite its lower version.
        rejected    ///< The document cannot be read.
    };
    decode_result
    decode(collection what, const document& change, std::string_view source);
    decode_result
    decode_configuration(const document& change, std::string_view source);
    /// @return true if a row restored from a backup would return a draining
    /// server to use.
    bool reverts_draining(
        const document& change, const traffic::server& server) const;
    /// @return true if a peer knows a server as draining that is known as ready
    /// here. Precondition: is_comparable_history().
    bool keeps_draining(const document& known, const document& of_peer) const;
    /// @return true if that row of a peer, possibly older than a known one,
    /// says more than the first full read of a restored backup.
    bool is_comparable_history(
        const documents& all, const document& known,
        const document& of_peer) const;
    /// Takes what a peer knows better although its row is not newer.
    void take_history(
        collection what, document& known, const document& of_peer,
        std::string_view source);
    /// @return true if a row restored from a backup would bring back a document
    /// that was removed after the backup was made.
    static bool reverts_removal(const documents& all, const document& change);
    decode_result
    decode_server(const document& change, std::string_view source);
    void log_rejected(
        collection what, const document& change, std::string_view source,
        const absl::Status& why);

    const document_codec& codec_;
    logging::line_log& log_;
    replica_handlers handlers_;
    rejection_log rejections_;
    documents configuration_;
    documents servers_;
    /// By data centre. Their versions do not count in version(): peers that do
    /// not know of them would take themselves for lagging.
    documents closures_;
    /// Version in the text of the configuration in force.
    std::uint64_t configuration_version_ = 0;
    std::uint64_t swept_ = 0;
    bool accepts_any_history_ = false;
    bool one_by_one_ = true; ///< Whether rows that are taken get a line each.
};

} // namespace mintknot::state

#endif
