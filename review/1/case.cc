/// @file
/// An entry of `servers` from another writer holds a number that cannot be
/// read. Watched: whether requests that are under way meanwhile, on kept
/// connections and passed on to sound servers, are answered.

#include "../standins/harness.h"

#include <unistd.h>

#include <csignal>
#include <cstdio>
#include <set>

namespace {

using namespace review;

constexpr int instances = 3;
constexpr int clients_of_an_instance = 8;
constexpr int work_ms = 400;
constexpr int calm_ms = 3000;
constexpr int watched_ms = 6000;
/// LOST: more than three times.
constexpr int losses_allowed = 3;

const char* const configuration =
    R"({"version":7,"routes":[{"name":"r-orders","host":"shop.example",)"
    R"("path_prefix":"/orders/","kind":"unsafe","timeout_ms":1500,)"
    R"("target_latency_ms":300,"priority":2,"service":"app",)"
    R"("max_attempts":1,"resumable":false}],"services":[{"name":"app",)"
    R"("health_path":"/health","max_conns":110,"protocol":"h1","tls":false}],)"
    R"("limits":{"max_header_bytes":16384,"max_body_bytes":4194304,)"
    R"("header_timeout_ms":3000,"idle_timeout_ms":15000}})";

/// The field `zone` is of another type, a number, and no type holds its value.
const char* const foreign_row =
    R"({"service":"app","address":"127.0.0.1:9","zone":1e999,"version":"v1",)"
    R"("slots":6,"state":"ready","cold_left_ms":0,"seq_no":1})";

struct tally {
    std::mutex guard;
    std::set<std::string> run; ///< IDs that a server has begun.
    int answered = 0;
    int refused = 0;
    int lost = 0; ///< On a kept connection, run, and closed without an answer.
};

/// A sound server: it runs each request that names it and answers it.
class plain_server {
public:
    plain_server(
        const std::string& host, std::string id, run_record& record,
        tally& counts)
        : id_(std::move(id))
        , record_(record)
        , counts_(counts)
        , server_(host, [this](const message& request, connection& link) {
            return serve(request, link);
        }) {}

    std::string address() const { return server_.address(); }

private:
    bool serve(const message& request, connection& link) {
        if (request.path() == "/health")
            return link.write(
                http_answer(200, {{"X-Mintknot-Instance-Id", id_}}, ""));
        const std::string id = request.field("X-Mintknot-Request-Id");
        if (request.field("X-Mintknot-Target-Instance") != id_)
            return link.write(http_answer(
                421,
                {{"X-Mintknot-Request-Id", id},
                 {"X-Mintknot-Not-Executed", "1"},
                 {"X-Mintknot-Instance-Id", id_}},
                ""));
        {
            const std::lock_guard<std::mutex> lock(counts_.guard);
            counts_.run.insert(id);
        }
        record_.write("run " + id + " at " + id_);
        sleep_ms(work_ms);
        return link.write(http_answer(
            200,
            {{"X-Mintknot-Request-Id", id}, {"X-Mintknot-Response-Seal", "s"}},
            "answer to " + id));
    }

    std::string id_;
    run_record& record_;
    tally& counts_;
    http_server server_;
};

/// One client with a kept connection; it opens a new one when that is closed.
void send_requests(
    const instance& to, int port, const std::string& name,
    const std::atomic<bool>& over, run_record& record, tally& counts) {
    std::unique_ptr<connection> link;
    int on_this_connection = 0;
    int pause_ms = 0;
    for (int number = 0; !over; ++number) {
        sleep_ms(pause_ms);
        if (link == nullptr) {
            link = connection::open(to.host(), port, 1000);
            on_this_connection = 0;
        }
        if (link == nullptr) {
            sleep_ms(200);
            continue;
        }
        const std::string id = name + "-" + std::to_string(number);
        record.write("sent " + id + " to " + to.name());
        link->write(
            "POST /orders/1 HTTP/1.1\r\nHost: shop.example\r\n"
            "X-Mintknot-Request-Id: " + id +
            "\r\nX-Mintknot-Deadline-Ms: 1500\r\nContent-Length: 0\r\n\r\n");
        const answer got = link->read_answer(3000);
        record.write(
            "answer " + id + " status " + std::to_string(got.head.status()) +
            " " + to_string(got.how));
        const std::lock_guard<std::mutex> lock(counts.guard);
        if (got.how == answer_end::complete) {
            counts.answered += got.head.status() == 200 ? 1 : 0;
            counts.refused += got.head.status() == 200 ? 0 : 1;
            ++on_this_connection;
        } else {
            if (on_this_connection > 0 && counts.run.contains(id) && !over) {
                ++counts.lost;
                record.write("lost " + id);
            }
            link = nullptr;
        }
        pause_ms = got.head.status() == 200 ? 0 : 200;
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
    std::vector<plain_server*> servers;
    rows.put("op", "config", configuration);
    for (int i = 0; i < 3; ++i) {
        const std::string id = "i-app-" + std::to_string(i);
        servers.push_back(new plain_server(
            where.host(101 + i), id, record, counts));
        rows.put(
            "servers", id,
            server_row("app", servers.back()->address(), zone_of(i), 24));
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
                send_requests(
                    to, where.front, to.name() + "-c" + std::to_string(i),
                    over, record, counts);
            });
    sleep_ms(calm_ms);
    if (with_trouble()) {
        record.write("another writer puts an entry into servers");
        rows.put("servers", "i-foreign", foreign_row);
    }
    // The platform starts a process again that has ended.
    int ends = 0;
    const std::int64_t until = now_ms() + watched_ms;
    while (now_ms() < until) {
        for (const auto& machine : machines)
            if (machine->ended()) {
                ++ends;
                record.write(
                    machine->name() + " ended by itself: " +
                    machine->how_it_ended());
                machine->start();
            }
        sleep_ms(500);
    }
    over = true;
    for (std::thread& client : clients)
        client.join();
    const std::lock_guard<std::mutex> lock(counts.guard);
    record.write(
        "summary: answered " + std::to_string(counts.answered) + ", other " +
        std::to_string(counts.refused) + ", run and lost " +
        std::to_string(counts.lost) + ", processes that ended by themselves " +
        std::to_string(ends));
    if (counts.answered == 0)
        return could_not_run;
    return counts.lost > losses_allowed ? rule_broken : rule_held;
}

} // namespace

int main(int argc, char** argv) {
    ::alarm(100);
    std::signal(SIGPIPE, SIG_IGN);
    if (argc != 2)
        return could_not_run;
    const int result = play(argv[1]);
    std::printf(
        "%s\n", result == rule_broken ? "LOST is broken"
                : result == rule_held ? "LOST held"
                                      : "could not run");
    std::fflush(stdout);
    // Threads of servers may still wait for requests.
    ::_exit(result);
}
