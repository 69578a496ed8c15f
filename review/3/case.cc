/// @file
/// Engines stream every second answer with neither a length nor chunks, so that
/// it ends with its connection, and the others in chunks. Machines that pass
/// streams on are killed midway. Watched: whether clients can tell that a
/// stream has ended early.

#include "../standins/harness.h"

#include <unistd.h>

#include <csignal>
#include <cstdio>

namespace {

using namespace review;

constexpr int instances = 3;
constexpr int clients_of_an_instance = 4;
constexpr int events = 60;
constexpr int event_ms = 25;
constexpr int kills = 3;
constexpr int between_kills_ms = 5000;

const char* const configuration =
    R"({"version":7,"routes":[{"name":"r-notes","host":"shop.example",)"
    R"("path_prefix":"/notes/","kind":"streaming","timeout_ms":14000,)"
    R"("target_latency_ms":900,"priority":1,"service":"llm",)"
    R"("max_attempts":1,"sticky":true,"resumable":false,)"
    R"("target_gap_ms":300}],"services":[{"name":"llm",)"
    R"("health_path":"/health","max_conns":370,"protocol":"h1","tls":false,)"
    R"("engine":{"slots":64,"kv_tokens":34221,"kv_token_bytes":35136,)"
    R"("link_mbps":1100000.0,"moves":true,"backups":true,"stride":1,)"
    R"("handle_ttl_s":0.5,"switch_s":6.0,"models":[{"name":"m"}]}}],)"
    R"("limits":{"max_header_bytes":16384,"max_body_bytes":4194304,)"
    R"("header_timeout_ms":3000,"idle_timeout_ms":15000}})";

struct tally {
    std::mutex guard;
    int whole = 0;
    int seen_as_cut = 0;
    int refused = 0;
    int taken_for_whole = 0; ///< Complete by HTTP, without the last events.
};

std::string event_of(const std::string& id, int number) {
    return "id: " + std::to_string(number) + "\ndata: " + id + " " +
           std::to_string(number) + "\n\n";
}

std::string whole_body(const std::string& id) {
    std::string body;
    for (int number = 1; number <= events; ++number)
        body += event_of(id, number);
    return body;
}

/// A model engine of one phase.
class engine {
public:
    engine(
        const std::string& host, std::string id, std::string phase,
        run_record& record)
        : id_(std::move(id))
        , phase_(std::move(phase))
        , record_(record)
        , server_(host, [this](const message& request, connection& link) {
            return serve(request, link);
        }) {}

    std::string address() const { return server_.address(); }

private:
    bool serve(const message& request, connection& link) {
        const std::string id = request.field("X-Mintknot-Request-Id");
        if (request.path() == "/health")
            return link.write(
                http_answer(200, {{"X-Mintknot-Instance-Id", id_}}, ""));
        if (request.path() == "/mintknot/report")
            return link.write(http_answer(
                200, {{"Content-Type", "application/json"}},
                "{\"phase\":\"" + phase_ +
                    "\",\"models\":[{\"name\":\"m\",\"version\":1,"
                    "\"adapters\":[]}],\"busy\":false,\"seq_no\":0,"
                    "\"queued\":0,\"running\":0,\"kv_used\":0,"
                    "\"kv_total\":34221,\"handles\":0}"));
        if (request.path() == "/mintknot/order")
            return link.write(http_answer(409, {}, ""));
        if (request.method() == "DELETE")
            return link.write(http_answer(200, {}, ""));
        const bool reads = request.field("X-Mintknot-Phase") == "prefill";
        if (request.field("X-Mintknot-Target-Instance") != id_ ||
            reads != (phase_ == "prefill"))
            return link.write(http_answer(
                421,
                {{"X-Mintknot-Request-Id", id},
                 {"X-Mintknot-Not-Executed", "1"},
                 {"X-Mintknot-Instance-Id", id_}},
                ""));
        if (reads) {
            sleep_ms(20);
            return link.write(http_answer(
                200,
                {{"X-Mintknot-Request-Id", id},
                 {"Content-Type", "application/json"}},
                "{\"kv_handle\":\"" + id + "\",\"tokens\":100,\"version\":1}"));
        }
        const bool in_chunks = ++answers_ % 2 == 0;
        record_.write(
            "run " + id + " at " + id_ + ", answered " +
            (in_chunks ? "in chunks" : "with neither a length nor chunks"));
        link.write(
            "HTTP/1.1 200 OK\r\nX-Mintknot-Request-Id: " + id +
            "\r\nX-Mintknot-Response-Seal: s\r\n"
            "X-Mintknot-Weight-Versions: 1\r\n"
            "Content-Type: text/event-stream\r\n" +
            (in_chunks ? "Transfer-Encoding: chunked\r\n\r\n"
                        : "Connection: close\r\n\r\n"));
        for (int number = 1; number <= events; ++number) {
            sleep_ms(event_ms);
            if (!send(link, event_of(id, number), in_chunks)) {
                record_.write("run " + id + " was given up");
                return false;
            }
        }
        return in_chunks && link.write("0\r\n\r\n");
    }

    static bool
    send(connection& link, const std::string& event, bool in_chunks) {
        if (!in_chunks)
            return link.write(event);
        char size[16];
        std::snprintf(size, sizeof size, "%zx\r\n", event.size());
        return link.write(size + event + "\r\n");
    }

    std::string id_;
    std::string phase_;
    static inline std::atomic<int> answers_{0}; ///< Of all engines.
    run_record& record_;
    http_server server_;
};

/// One client, with a new connection for each stream.
void read_streams(
    const instance& to, int port, const std::string& name,
    const std::atomic<bool>& over, run_record& record, tally& counts) {
    int pause_ms = 0;
    for (int number = 0; !over; ++number) {
        sleep_ms(pause_ms);
        const auto link = connection::open(to.host(), port, 1000);
        if (link == nullptr) {
            sleep_ms(100);
            continue;
        }
        const std::string id = name + "-" + std::to_string(number);
        record.write("sent " + id + " to " + to.name());
        link->write(
            "POST /notes/1 HTTP/1.1\r\nHost: shop.example\r\n"
            "X-Mintknot-Request-Id: " + id +
            "\r\nX-Mintknot-Model: m\r\nX-Mintknot-Token-Count: 100," +
            std::to_string(events) +
            "\r\nX-Mintknot-Prompt-Prefix: 5c1e07a2:60,91bd3f06:40"
            "\r\nX-Mintknot-Deadline-Ms: 14000\r\nContent-Length: 0\r\n\r\n");
        const answer got = link->read_answer(16000);
        const std::string& body = got.head.body;
        const int status = got.head.status();
        record.write(
            "answer " + id + " status " + std::to_string(status) + " " +
            to_string(got.how) +
            (got.until_close ? ", framed by the close" : "") + ", " +
            std::to_string(body.size()) + " of " +
            std::to_string(whole_body(id).size()) + " bytes");
        const std::lock_guard<std::mutex> lock(counts.guard);
        // A stream that ends inside an event has been broken off.
        const bool seen_as_whole =
            got.how == answer_end::complete && body.ends_with("\n\n");
        pause_ms = status == 200 ? 0 : 200;
        if (status == 503)
            ++counts.refused;
        else if (status != 200 || !seen_as_whole)
            ++counts.seen_as_cut;
        else if (body == whole_body(id))
            ++counts.whole;
        else {
            ++counts.taken_for_whole;
            record.write("ended early and appears complete: " + id);
        }
    }
}

int play(const std::string& record_path) {
    // Not destroyed: threads of servers use these until the process ends.
    run_record& record = *new run_record(record_path);
    tally& counts = *new tally;
    const temporary_folder folder;
    const addresses where = find_addresses(instances);
    if (where.network.empty())
        return could_not_run;
    store& rows = *new store(where.host(100));
    rows.put("op", "config", configuration);
    for (int i = 0; i < 6; ++i) {
        const std::string id = "i-llm-" + std::to_string(i);
        const std::string phase = i < 2 ? "prefill" : "decode";
        const auto* server =
            new engine(where.host(101 + i), id, phase, record);
        rows.put(
            "servers", id,
            server_row("llm", server->address(), zone_of(i), 64, phase));
    }
    std::vector<std::unique_ptr<instance>> machines;
    for (int i = 0; i < instances; ++i) {
        machines.push_back(std::make_unique<instance>(
            i, where, rows.address(), folder.path()));
        machines.back()->start();
    }
    for (const auto& machine : machines)
        if (!machine->wait_until_ready(15000)) {
            record.write(machine->name() + " is not ready");
            return could_not_run;
        }
    std::atomic<bool> over{false};
    std::vector<std::thread> clients;
    for (const auto& machine : machines)
        for (int i = 0; i < clients_of_an_instance; ++i)
            clients.emplace_back([&, i, &to = *machine] {
                read_streams(
                    to, where.front, to.name() + "-c" + std::to_string(i),
                    over, record, counts);
            });
    for (int i = 0; i < kills; ++i) {
        sleep_ms(between_kills_ms);
        instance& machine = *machines[static_cast<std::size_t>(i)];
        if (!with_trouble())
            continue;
        record.write("kill " + machine.name());
        machine.send_signal(SIGKILL);
        while (!machine.ended())
            sleep_ms(10);
        sleep_ms(500);
        machine.start();
    }
    sleep_ms(between_kills_ms);
    over = true;
    for (std::thread& client : clients)
        client.join();
    const std::lock_guard<std::mutex> lock(counts.guard);
    record.write(
        "summary: whole " + std::to_string(counts.whole) +
        ", seen to be cut or failed " + std::to_string(counts.seen_as_cut) +
        ", refused " + std::to_string(counts.refused) +
        ", ended early and appear complete " +
        std::to_string(counts.taken_for_whole));
    if (counts.whole == 0)
        return could_not_run;
    return counts.taken_for_whole > 0 ? rule_broken : rule_held;
}

} // namespace

int main(int argc, char** argv) {
    ::alarm(100);
    std::signal(SIGPIPE, SIG_IGN);
    if (argc != 2)
        return could_not_run;
    const int result = play(argv[1]);
    std::printf(
        "%s\n", result == rule_broken ? "MIXED is broken"
                : result == rule_held ? "MIXED held"
                                      : "could not run");
    std::fflush(stdout);
    // Threads of servers may still wait for requests.
    ::_exit(result);
}
