/// @file
/// The platform's store, as far as the router reads it.
#ifndef MINTKNOT_STATE_STORE_HPP
#define MINTKNOT_STATE_STORE_HPP

#include <mintknot/base/time.hpp>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace mintknot::state {

/// A longer answer of the store, or of a peer in its place, is not read.
inline constexpr std::size_t max_answer_bytes = 64 * 1024 * 1024;

/// What is read from the store.
enum class collection {
    /// The operator's: one document with the configuration, and one for each
    /// data centre that is closed.
    configuration,
    servers, ///< One document for each backend server.
    leases,  ///< One document for each service whose engines get orders.
};

std::string_view to_string(collection value) noexcept;

/// What a document of the operator tells of.
enum class document_kind {
    content, ///< Its text.
    closure ///< The data centre that its key names is closed while it is there.
};

/// One row. Versions come from one counter of the store and only rise; see
/// store_version.hpp for restores.
struct document {
    std::string key;
    std::uint64_t version = 0;
    std::optional<std::string> text; ///< Nothing: the row was removed.
    document_kind kind = document_kind::content;
};

enum class store_result {
    ok,
    history_gone, ///< The changes asked for are no longer kept.
    conflict,     ///< The row has another version; nothing was written.
    refused,      ///< The store answered that it did nothing.
    unreachable,  ///< No answer, or none that could be read.
};

std::string_view to_string(store_result value) noexcept;

struct store_answer {
    store_result result = store_result::unreachable;
    std::vector<document> documents;
    std::uint64_t version = 0; ///< The store's newest at that moment.
    /// A moment at which nothing newer existed; nothing: it cannot be told.
    std::optional<base::steady_time> confirmed;
};

/// What became of a conditional write. Without an answer it may have been
/// done, or may be done later as long as its condition holds.
struct write_answer {
    store_result result = store_result::unreachable;
    std::uint64_t version = 0; ///< Of the row, if it was written.
};

using write_handler = std::function<void(const write_answer&)>;
using store_handler = std::function<void(store_answer)>;

/// Calls are answered on the loop, never from within, and always once: an
/// implementation bounds the time of every call.
class store {
public:
    virtual ~store() = default;

    /// Reads all documents as of one moment.
    virtual void read(collection what, store_handler on_answer) = 0;
    /// Waits for changes behind a version, at most for `wait`.
    virtual void watch(
        collection what, std::uint64_t after, base::milliseconds wait,
        store_handler on_answer) = 0;
    /// Writes a row if it has the version; 0: if it is not there.
    virtual void write(
        collection what, const std::string& key, std::uint64_t expected,
        const std::string& text, write_handler on_answer) = 0;
};

} // namespace mintknot::state

#endif
