/// @file
/// Test fixture: a router, scripted backend servers and callers on one event
/// loop.
#ifndef MINTKNOT_RELAY_TESTS_RELAY_FIXTURE_HPP
#define MINTKNOT_RELAY_TESTS_RELAY_FIXTURE_HPP

#include "bound_port.hpp"
#include "server_scripts.hpp"

#include <mintknot/event/listener.hpp>
#include <mintknot/http1/message_parser.hpp>
#include <mintknot/relay/entry_server.hpp>

#include <functional>
#include <list>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace mintknot::relay::tests {

/// A dialect with short header names.
class test_dialect final : public dialect {
public:
    request_metadata
    read_request(const http1::request_head& head) const override;
    answer_metadata
    read_answer(const http1::response_head& head) const override;
    server_notice read_notice(const http1::response_head& head) const override;
    std::optional<prefill_result>
    read_prefill(std::string_view body) const override;
    http1::request_head forwarded_request(
        const http1::request_head& caller,
        const call_parameters& terms) const override;
    http1::request_head release_request(
        const std::string& handle, const std::string& server_id) const override;
    http1::request_head health_request(
        const std::string& path, const std::string& server_id) const override;
    http1::request_head
    report_request(const std::string& server_id) const override;
    std::optional<engine_report>
    read_report(std::string_view body) const override;
    own_call order_call(
        const phase_order& value, const std::string& server_id) const override;
    std::string result_location(
        const std::string& server_address,
        const std::string& handle) const override;
    http1::field_list own_answer(
        const std::string& request_id,
        std::optional<base::milliseconds> retry_after) const override;
};

/// What a caller has received on its connection.
struct caller_view {
    std::string text;      ///< All bytes received.
    int status = 0;        ///< Status of the first answer.
    std::string body;      ///< Body of the first answer.
    bool complete = false; ///< The first answer was complete.
    http1::field_list fields;
    std::string field(std::string_view name) const;
};

/// A router whose entry server listens on the loopback interface. Its
/// configuration has the routes `safe`, `unsafe`, `stream` and `resume`.
class relay_fixture {
public:
    /// @param log_descriptor where log lines are written; -1: nowhere.
    explicit relay_fixture(int log_descriptor = -1);
    ~relay_fixture();

    /// Starts a scripted server and adds it to the server table.
    scripted_server& add_server(
        const std::string& id, const std::string& service,
        traffic::engine_phase phase, script behaviour,
        const std::string& version = "v1");
    /// Adds a server that refuses all connections to the server table.
    void add_dead_server(const std::string& id, const std::string& service);

    /// Sends the bytes on a new connection. Waits until the connection ends or,
    /// if `until` is given, until it holds, or else until the first answer is
    /// complete.
    caller_view ask(const std::string& bytes, std::function<bool()> until = {});
    /// Opens a connection that sends nothing.
    event::connection_ptr connect_idle();
    /// Runs the loop until the condition holds.
    void run_until(const std::function<bool()>& condition);

    event::loop owner;
    test_dialect protocol;
    logging::line_log log;
    relay_metrics metrics;
    std::vector<upstream::target> connects; ///< That calls have asked for.
    upstream::connection_pool pool;
    release_queue releases;
    health_prober prober;
    router_context context;
    std::unique_ptr<entry_server> entry;
    traffic::configuration config;
    /// Makes the router use the current contents of `config`.
    void configure();

private:
    void add_row(
        const std::string& id, const std::string& service,
        traffic::engine_phase phase, std::uint16_t port,
        const std::string& version);
    std::list<scripted_server> servers_;
    std::list<bound_port> dead_ports_;
    std::uint64_t version_ = 0;
};

/// @return a POST request of a caller.
std::string
request(const std::string& path, const std::string& fields = "Id: r1\r\n");
/// @return a request with so many prompt tokens.
std::string prompt(const std::string& path, int tokens = 100);

} // namespace mintknot::relay::tests

#endif
