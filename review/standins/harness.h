/// @file
/// What the cases of the review share: a store stand-in, a server of HTTP/1.1,
/// a client, processes of the project, and the record of a run. Plain sockets
/// and threads; loopback addresses only.
#ifndef REVIEW_HARNESS_H
#define REVIEW_HARNESS_H

#include <sys/types.h>

#include <atomic>
#include <condition_variable>
#include <cstdint>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace review {

constexpr int rule_held = 0;
constexpr int rule_broken = 1;
constexpr int could_not_run = 2;

/// Milliseconds of the steady clock.
std::int64_t now_ms();
void sleep_ms(int ms);

/// What was sent, answered and run, one event a line, with the milliseconds
/// since the start of the run.
class run_record {
public:
    explicit run_record(const std::string& path);
    void write(const std::string& line);

private:
    std::mutex guard_;
    std::ofstream out_;
    std::int64_t began_;
};

/// A request or an answer.
struct message {
    std::string first_line;
    std::vector<std::pair<std::string, std::string>> fields;
    std::string body;

    /// @return the value of a field, or an empty text.
    std::string field(const std::string& name) const;
    /// Of a request line.
    std::string method() const;
    std::string path() const;
    /// Of a status line; 0 if there is none.
    int status() const;
};

/// How an answer ended, as its receiver can tell by the rules of HTTP/1.1.
enum class answer_end {
    complete,    ///< By its length, its last chunk, or an orderly close.
    cut,         ///< The connection ended before the end of the answer.
    reset,       ///< The connection was reset.
    not_answered ///< No byte of an answer came, or not in time.
};
std::string to_string(answer_end how);

struct answer {
    message head;
    answer_end how = answer_end::not_answered;
    bool until_close = false; ///< Framed by the end of the connection.
};

/// A TCP connection with blocking calls.
class connection {
public:
    explicit connection(int descriptor);
    ~connection();
    connection(const connection&) = delete;
    connection& operator=(const connection&) = delete;

    /// @return null if it cannot be opened.
    static std::unique_ptr<connection>
    open(const std::string& host, int port, int timeout_ms = 2000);

    bool write(const std::string& bytes);
    /// @return false if the connection has ended or the time is over.
    bool read_request(message& request, int timeout_ms);
    /// @param on_head called as soon as the head has come.
    answer read_answer(
        int timeout_ms, const std::function<void()>& on_head = nullptr);
    void reset();
    void close();

    /// For its server: bytes that are still due on it.
    std::string due_late;

private:
    enum class outcome { data, end, reset, timeout };
    outcome read_more(std::int64_t until);

    int descriptor_;
    std::string pending_;
};

/// Serves each connection in a thread of its own.
class http_server {
public:
    /// Called for each request. @return false to close the connection.
    using handler = std::function<bool(const message&, connection&)>;

    http_server(const std::string& host, handler serve);
    ~http_server();
    int port() const { return port_; }
    std::string address() const;

private:
    void accept_all();

    std::string host_;
    handler serve_;
    int listener_ = -1;
    int port_ = 0;
    std::atomic<bool> stopped_{false};
    std::thread acceptor_;
};

std::string http_answer(
    int status,
    const std::vector<std::pair<std::string, std::string>>& fields,
    const std::string& body);

/// Stand-in for the platform's store: rows with one counter of versions, reads
/// and held watches. Writing calls are turned away (503: nothing was done); the
/// case itself writes what the operator and the servers would.
class store {
public:
    explicit store(const std::string& host);
    std::string address() const { return server_.address(); }
    void put(
        const std::string& table, const std::string& key,
        const std::string& value);
    void remove(const std::string& table, const std::string& key);

private:
    struct row {
        std::string value;
        std::uint64_t version = 0;
        bool gone = false;
    };
    bool serve(const message& request, connection& link);
    std::string rows_of(
        const std::string& table, std::uint64_t after, bool with_gone,
        bool& any);

    std::mutex guard_;
    std::condition_variable changed_;
    std::map<std::pair<std::string, std::string>, row> rows_;
    std::uint64_t version_ = 1;
    http_server server_;
};

/// Where the processes of a run listen; the ports are free on all hosts.
struct addresses {
    std::string network; ///< The first three numbers of all hosts.
    int front = 0;
    int readiness = 0;
    int first_inner = 0;
    std::string host(int instance) const;
};
/// @return addresses on which nothing listens.
addresses find_addresses(int instances);

/// @return one of the three zones of the deployment, in turn.
std::string zone_of(int number);

/// One process of the project, started with the command of the deploy file.
class instance {
public:
    instance(
        int number, const addresses& where, const std::string& store,
        const std::string& folder);
    ~instance();

    void start();
    void send_signal(int number);
    /// @return true if the process has ended by itself or by a signal.
    bool ended();
    /// @return how it ended, for the record.
    std::string how_it_ended() const;
    /// Waits until the process calls itself ready. @return false if it does not.
    bool wait_until_ready(int timeout_ms);
    std::string host() const { return host_; }
    std::string name() const { return name_; }

private:
    std::string name_;
    std::string host_;
    addresses where_;
    std::string settings_;
    std::string log_;
    pid_t process_ = -1;
    int status_ = 0;
};

/// A folder under the temporary folder of the machine, removed at the end.
class temporary_folder {
public:
    temporary_folder();
    ~temporary_folder();
    const std::string& path() const { return path_; }

private:
    std::string path_;
};

/// Text of a row of `servers`.
std::string server_row(
    const std::string& service, const std::string& address,
    const std::string& zone, int slots, const std::string& phase = "");

/// @return true unless the environment variable TROUBLE is 0.
bool with_trouble();

} // namespace review

#endif
