/// @file
/// The backend servers that are known, by ID and by service.
#ifndef MINTKNOT_TRAFFIC_SERVER_TABLE_HPP
#define MINTKNOT_TRAFFIC_SERVER_TABLE_HPP

#include <mintknot/base/address.hpp>
#include <mintknot/base/time.hpp>

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace mintknot::traffic {

/// What a model engine does at present.
enum class engine_phase { none, prefill, decode };

std::string_view to_string(engine_phase value) noexcept;

/// One backend server. A restart of it may keep the ID; it then knows nothing
/// of what its earlier life was asked.
struct server {
    std::string id;
    std::string service;
    base::address where;
    std::string data_centre;
    int slots = 1;
    bool draining = false;
    engine_phase phase = engine_phase::none;
    /// When this life of it began, in milliseconds of its wall clock; 0: it
    /// does not tell. Only compared for equality.
    std::uint64_t born = 0;
    /// Of its software; empty: unknown, and then equal to no other.
    std::string version{};
};

/// @return true if both rows tell of lives that are not the same one.
bool is_other_life(const server& left, const server& right) noexcept;

/// Entries carry the version of the row that told of them. A version never
/// goes back, whatever order news arrives in.
struct server_table {
    struct entry {
        std::optional<server> value; ///< Nothing: the server has gone.
        std::uint64_t version = 0;
        bool only_named = false; ///< Known by note_named() alone.
    };
    std::unordered_map<std::string, entry> by_id;
    /// Servers that take new requests; see takes_new().
    std::map<std::string, std::vector<const server*>> open_by_service;
    /// How many of them have each software version, by service and version.
    std::map<std::string, std::map<std::string, std::size_t>> open_versions;
    /// Data centres whose servers get nothing new; they are not open.
    std::set<std::string> closed_data_centres;
    /// Servers that have said themselves that they leave, and which life of
    /// each has (server::born). No row takes that back, only another life.
    std::map<std::string, std::uint64_t> said_leaving;
    std::uint64_t newest = 0; ///< The highest version seen.
    std::size_t traces = 0;   ///< Entries of servers that have gone.
    /// This instance holds no rows: it knows only servers that a scheduler has
    /// named, which are not open to choices made here.
    bool partial = false;
    std::deque<std::string> named; ///< The oldest first.
    /// Entries that were looked at to drop traces, since the start.
    std::uint64_t swept = 0;
};

/// Takes news of one server. @return false if the table knew newer things.
bool apply(
    server_table& table, const std::string& id, std::uint64_t version,
    std::optional<server> value);

/// A server as one instance tells another of it.
struct versioned_server {
    server value;
    std::uint64_t version = 0;
};

/// Takes a server that a scheduler has named, so that a request can be sent to
/// it. A bounded number is kept: an instance that holds no rows is not told
/// when such a server goes.
void note_named(server_table& table, const versioned_server& news);

/// @return the servers of a service that schedulers have named.
std::vector<const server*>
named_servers(const server_table& table, const std::string& service);

/// Forgets all rows; from now on the table is a partial one.
void become_partial(server_table& table);

/// Closes a data centre, or opens it again.
void set_closed(
    server_table& table, const std::string& data_centre, bool closed);

/// A server that is known has said itself that it leaves. @return true if that
/// is new.
bool note_leaving(server_table& table, const std::string& id);

/// @return true if a server leaves, by its row or by its own word.
bool leaves(const server_table& table, const server& value);

/// @return true if a server may get a new request: it does not leave, and its
/// data centre is not closed. Who chose it may not know that yet.
bool takes_new(const server_table& table, const server& value);

/// @return the server if it is known and has not gone, else null.
const server* find(const server_table& table, const std::string& id);

/// @return how many servers are known that have not gone.
std::size_t count(const server_table& table);

/// @return the servers of a service that take new requests.
const std::vector<const server*>&
open_servers(const server_table& table, const std::string& service);

} // namespace mintknot::traffic

#endif
