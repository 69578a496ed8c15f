/// @file
/// A stand-in for a server of the platform.
#ifndef MINTKNOT_SOAK_ENGINE_STAND_IN_HPP
#define MINTKNOT_SOAK_ENGINE_STAND_IN_HPP

#include "scripted_server.hpp"

#include <mintknot/http1/message.hpp>
#include <mintknot/upstream/call.hpp>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>

namespace mintknot::soak {

using relay::tests::received_request;

struct engine_options {
    base::address store;
    std::string id;
    std::string service;
    std::string phase; ///< Empty: a plain server.
    std::string ledger;
    std::string limit;   ///< Requests per second, as sent in answers.
    std::string version; ///< Of its software; empty: its row has none.
    base::milliseconds event_time{12}; ///< Between two events of a stream.
    /// Pause of some streams in their middle; zero: none.
    base::milliseconds pause{0};
    base::address advertised; ///< Where instances reach it.
    /// Every second answer has neither a length nor chunks, and ends with its
    /// connection.
    bool without_length = false;
    /// One answer in four is faulty, in one of the ways of faulty_answers.hpp,
    /// chosen by the request: a request has the same answer at all servers.
    bool faulty = false;
};

/// A model engine of one phase, or a plain server. It notes each run in a
/// ledger before it begins. After SIGUSR1 its answers say that it leaves,
/// and its row does not; after SIGUSR2 it turns requests away for a while
/// and asks for rest. SIGHUP toggles whether its answers advertise its rate
/// limit; SIGTERM makes it leave.
///
/// Lifetime: the loop must outlive it.
class engine_stand_in {
public:
    engine_stand_in(event::loop& owner, engine_options options);
    ~engine_stand_in();
    engine_stand_in(const engine_stand_in&) = delete;
    engine_stand_in& operator=(const engine_stand_in&) = delete;

    /// Opens its port and prints it. @return false if it cannot.
    bool open();

private:
    void on_signal(int number);
    /// Says that it leaves, serves on for a while, and ends.
    void leave();
    void beat();
    void
    serve(const received_request& request, const event::connection_ptr& link);
    static bool has_crashing_part(const received_request& request);
    void reply(
        const event::connection_ptr& link, int status, http1::field_list fields,
        const std::string& body);
    /// Adds the fields that describe the server's own state to an answer.
    void add_status_fields(http1::field_list& fields);
    void reject(
        const event::connection_ptr& link, const std::string& id, int status);
    /// Notes something about a request in the ledger.
    void note(std::string_view what, const std::string& id);
    http1::field_list sealed(const std::string& id);
    /// Ends as a process does that has crashed: without a word to anybody.
    void crash(const std::string& id);
    void run_plain(const std::string& id, const event::connection_ptr& link);
    void run_prefill(const std::string& id, const event::connection_ptr& link);
    void run_decode(
        const received_request& request, const std::string& id,
        const event::connection_ptr& link);
    /// @return true if the request has been given a faulty answer.
    bool answer_badly(
        const std::string& id, bool stream, const event::connection_ptr& link);
    /// Writes a piece again and again for as long as the caller reads.
    void write_without_end(
        const std::string& piece, const event::connection_ptr& link);
    /// @return true if the answer to the request has neither a length nor
    /// chunks, at all engines.
    bool ends_with_connection(const std::string& id) const;
    void write_head(
        const std::string& id, http1::framing body,
        const http1::field_list& more, const event::connection_ptr& link);
    void write_event(
        const std::string& id, int number, const event::connection_ptr& link);
    /// @return true if the stream of the request pauses after this event,
    /// the same one at all engines.
    static bool pauses_after(const std::string& id, int number);
    void after(base::milliseconds delay, std::function<void()> action);

    event::loop& owner_;
    engine_options options_;
    upstream::connection_pool pool_;
    event::timer beat_timer_;
    relay::tests::scripted_server server_;
    std::unique_ptr<upstream::call> call_;
    int ledger_;
    bool draining_ = false;
    int row_write_status_ = 0; ///< Of the last write of its row.
    bool says_leaving_ = false;
    bool advertises_limit_ = false;
    base::steady_time busy_until_{};
    /// When the store took its word that it leaves.
    std::optional<base::steady_time> leaving_known_;
    std::set<std::string> handles_;
    std::size_t endless_bytes_ = 0; ///< Written without an end.
    std::uint64_t last_timer_ = 0;
    std::map<std::uint64_t, std::unique_ptr<event::timer>> timers_;
};

} // namespace mintknot::soak

#endif
