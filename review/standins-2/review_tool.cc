// Stand-ins and clients for the cases of the second review, in one program.
//
//   review_tool server ...   a plain server or a decode engine, a process
//   review_tool run NAME ... the platform's store, the clients and the checks
//
// The store, the servers and the clients do what the users' pages say of them,
// as far as the cases need it. Everything is on addresses of 127.0.0.0/8.

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <deque>
#include <fstream>
#include <functional>
#include <map>
#include <mutex>
#include <random>
#include <set>
#include <sstream>
#include <string>
#include <thread>
#include <vector>

using std::string;
using clock_type = std::chrono::steady_clock;
using ms = std::chrono::milliseconds;

namespace {

long long wall_ms() {
    return std::chrono::duration_cast<ms>(
               std::chrono::system_clock::now().time_since_epoch())
        .count();
}

const clock_type::time_point begun = clock_type::now();

long long since_begin() {
    return std::chrono::duration_cast<ms>(clock_type::now() - begun).count();
}

void pause_for(long long milliseconds) {
    std::this_thread::sleep_for(ms(milliseconds));
}

string lower(string text) {
    for (char& letter : text)
        letter = static_cast<char>(std::tolower(letter));
    return text;
}

struct message {
    string first; // The first line.
    std::map<string, string> fields;
    string body;
    bool complete = false;
    string field(const string& name) const {
        const auto found = fields.find(lower(name));
        return found == fields.end() ? string() : found->second;
    }
    int status() const {
        return first.size() > 12 ? std::atoi(first.c_str() + 9) : 0;
    }
};

sockaddr_in address_of(const string& host, int port) {
    sockaddr_in where{};
    where.sin_family = AF_INET;
    where.sin_port = htons(static_cast<std::uint16_t>(port));
    inet_pton(AF_INET, host.c_str(), &where.sin_addr);
    return where;
}

int listen_on(const string& host, int port) {
    const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    const sockaddr_in where = address_of(host, port);
    if (bind(fd, reinterpret_cast<const sockaddr*>(&where), sizeof where) !=
            0 ||
        listen(fd, 256) != 0) {
        close(fd);
        return -1;
    }
    return fd;
}

int connect_to(const string& host, int port) {
    const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    const sockaddr_in where = address_of(host, port);
    if (connect(fd, reinterpret_cast<const sockaddr*>(&where), sizeof where) !=
        0) {
        close(fd);
        return -1;
    }
    return fd;
}

bool send_all(int fd, const string& bytes) {
    std::size_t sent = 0;
    while (sent < bytes.size()) {
        const ssize_t count =
            send(fd, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
        if (count <= 0)
            return false;
        sent += static_cast<std::size_t>(count);
    }
    return true;
}

// A connection that is read by messages.
class reader {
public:
    explicit reader(int fd)
        : fd_(fd) {}

    // 1: bytes came, 0: the other side has closed, -1: reset or too late.
    int more(clock_type::time_point until) {
        pollfd wanted{fd_, POLLIN, 0};
        const auto left =
            std::chrono::duration_cast<ms>(until - clock_type::now()).count();
        if (left <= 0 || poll(&wanted, 1, static_cast<int>(left)) <= 0)
            return -1;
        char bytes[65536];
        const ssize_t count = recv(fd_, bytes, sizeof bytes, 0);
        if (count <= 0)
            return count == 0 ? 0 : -1;
        rest_.append(bytes, static_cast<std::size_t>(count));
        return 1;
    }

    bool read_head(message& into, clock_type::time_point until) {
        std::size_t end = 0;
        while ((end = rest_.find("\r\n\r\n")) == string::npos)
            if (more(until) <= 0)
                return false;
        std::istringstream lines(rest_.substr(0, end));
        rest_.erase(0, end + 4);
        string line;
        std::getline(lines, line);
        into.first = line.substr(0, line.find('\r'));
        while (std::getline(lines, line)) {
            const std::size_t colon = line.find(':');
            if (colon == string::npos)
                continue;
            std::size_t begin = colon + 1;
            while (begin < line.size() && line[begin] == ' ')
                ++begin;
            into.fields[lower(line.substr(0, colon))] =
                line.substr(begin, line.find('\r') - begin);
        }
        return true;
    }

    bool take(std::size_t count, string& into, clock_type::time_point until) {
        while (rest_.size() < count)
            if (more(until) <= 0)
                return false;
        into.append(rest_, 0, count);
        rest_.erase(0, count);
        return true;
    }

    bool read_request(message& into, clock_type::time_point until) {
        if (!read_head(into, until))
            return false;
        const string length = into.field("Content-Length");
        return length.empty() ||
               take(
                   std::strtoul(length.c_str(), nullptr, 10), into.body, until);
    }

    // Whether the answer is complete, as its framing says.
    void read_answer(message& into, clock_type::time_point until) {
        if (!read_head(into, until))
            return;
        const string length = into.field("Content-Length");
        if (!length.empty()) {
            const std::size_t count = std::strtoul(length.c_str(), nullptr, 10);
            while (rest_.size() < count)
                if (more(until) <= 0)
                    break;
            into.complete = rest_.size() >= count;
            into.body = rest_.substr(0, count);
        } else if (lower(into.field("Transfer-Encoding")) == "chunked") {
            read_chunks(into, until);
        } else {
            int found = 1;
            while (found > 0)
                found = more(until);
            into.complete = found == 0;
            into.body = rest_;
        }
    }

private:
    void read_chunks(message& into, clock_type::time_point until) {
        while (true) {
            std::size_t end = 0;
            while ((end = rest_.find("\r\n")) == string::npos)
                if (more(until) <= 0)
                    return;
            const std::size_t size = std::strtoul(rest_.c_str(), nullptr, 16);
            rest_.erase(0, end + 2);
            string tail;
            if (!take(size, into.body, until) || !take(2, tail, until))
                return;
            if (size == 0) {
                into.complete = true;
                return;
            }
        }
    }

    int fd_;
    string rest_;
};

string field_of(const string& json, const string& name) {
    const std::size_t at = json.find("\"" + name + "\":");
    if (at == string::npos)
        return {};
    std::size_t begin = at + name.size() + 3;
    while (begin < json.size() && json[begin] == ' ')
        ++begin;
    if (json[begin] == '"')
        return json.substr(begin + 1, json.find('"', begin + 1) - begin - 1);
    std::size_t end = begin;
    while (end < json.size() && string(",}] ").find(json[end]) == string::npos)
        ++end;
    return json.substr(begin, end - begin);
}

string base64(const string& text) {
    static const char* digits =
        "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    string out;
    for (std::size_t i = 0; i < text.size(); i += 3) {
        unsigned bits = 0;
        for (std::size_t j = 0; j < 3; ++j)
            bits = bits << 8 | (i + j < text.size()
                                    ? static_cast<unsigned char>(text[i + j])
                                    : 0U);
        for (std::size_t j = 0; j < 4; ++j)
            out +=
                i + j > text.size() ? '=' : digits[bits >> (18 - 6 * j) & 63];
    }
    return out;
}

// ---------------------------------------------------------------- the server

struct server_options {
    string host, id, phase, ledger;
    string version = "v1"; // Of its software; told in its events.
    string crash_part; // Of a prompt; the engine ends when it answers to it.
    int port = 0;
    string born = "0"; // Milliseconds of the time of day.
    int slots = 6;
    int work_ms = 60;
    int events = 0;      // Of a stream; 0: a plain server.
    int event_ms = 100;  // Between two of them.
    int open_one_in = 1; // One answer in so many has neither length nor chunks.
    int body_bytes = 800;
    int unsealed_one_in =
        0; // One answer in so many is no answer: it has no seal.
    int unsealed_bytes = 0;
};

std::atomic<int> slowness{1};
std::mutex ledger_lock;

void note_in(const string& path, const string& line) {
    const std::lock_guard<std::mutex> held(ledger_lock);
    const int fd = open(path.c_str(), O_WRONLY | O_APPEND | O_CREAT, 0644);
    const string text = line + "\n";
    if (write(fd, text.data(), text.size()) < 0)
        std::perror("ledger");
    close(fd);
}

// Slots are given in the order in which requests, health checks among them,
// have come.
class slot_queue {
public:
    explicit slot_queue(int slots)
        : free_(slots) {}
    void take() {
        std::unique_lock<std::mutex> held(lock_);
        const std::uint64_t number = next_++;
        changed_.wait(held, [&] { return free_ > 0 && number == served_; });
        --free_;
        ++served_;
        changed_.notify_all();
    }
    void give() {
        const std::lock_guard<std::mutex> held(lock_);
        ++free_;
        changed_.notify_all();
    }

private:
    std::mutex lock_;
    std::condition_variable changed_;
    int free_;
    std::uint64_t next_ = 0;
    std::uint64_t served_ = 0;
};

string whole_body(const string& id, int bytes) {
    string body;
    while (static_cast<int>(body.size()) < bytes)
        body += id + ";";
    body.resize(static_cast<std::size_t>(bytes));
    return body;
}

string
event_of(const string& id, int number, int events, const string& version) {
    return "id: " + std::to_string(number) + "\ndata: " + id + " " +
           std::to_string(number) + " of " + std::to_string(events) + " by " +
           version + "\n\n";
}

string plain_answer(int status, const string& fields, const string& body) {
    return "HTTP/1.1 " + std::to_string(status) + " Status\r\n" + fields +
           "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

class server {
public:
    explicit server(server_options given)
        : options_(std::move(given))
        , slots_(options_.slots) {}

    int run() {
        const int listener = listen_on(options_.host, options_.port);
        if (listener < 0)
            return 2;
        while (true) {
            const int fd = accept4(listener, nullptr, nullptr, SOCK_CLOEXEC);
            if (fd < 0)
                continue;
            const int on = 1;
            setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
            std::thread([this, fd] {
                serve(fd);
                close(fd);
            }).detach();
        }
    }

private:
    void serve(int fd) {
        reader from(fd);
        while (true) {
            message request;
            if (!from.read_request(
                    request, clock_type::now() + std::chrono::seconds(60)) ||
                !answer(fd, request))
                return;
        }
    }

    string ends() const {
        return "X-Mintknot-Instance-Id: " + options_.id + "\r\n";
    }

    // @return whether the connection stays open.
    bool answer(int fd, const message& request) {
        const string id = request.field("X-Mintknot-Request-Id");
        const string target = request.field("X-Mintknot-Target-Instance");
        const string echo =
            id.empty() ? string() : "X-Mintknot-Request-Id: " + id + "\r\n";
        if (!target.empty() && target != options_.id)
            return send_all(
                fd,
                plain_answer(
                    421, echo + ends() + "X-Mintknot-Not-Executed: 1\r\n", ""));
        const string path = request.first.substr(request.first.find(' ') + 1);
        if (path.rfind("/health", 0) == 0) {
            slots_.take();
            pause_for(1);
            slots_.give();
            return send_all(fd, plain_answer(200, ends(), "ok"));
        }
        if (path.rfind("/mintknot/report", 0) == 0)
            return send_all(
                fd, plain_answer(
                        200, "Content-Type: application/json\r\n",
                        "{\"born\":" + options_.born + ",\"phase\":\"" +
                            options_.phase +
                            "\",\"models\":[{\"name\":\"m\",\"version\":1,"
                            "\"adapters\":[]}],\"busy\":false,\"seq_no\":0,"
                            "\"queued\":0,\"running\":0,\"kv_used\":0,"
                            "\"kv_total\":90000,\"handles\":0}"));
        if (path.rfind("/mintknot/order", 0) == 0)
            return send_all(fd, plain_answer(409, "", ""));
        if (path.rfind("/mintknot/", 0) == 0)
            return send_all(fd, plain_answer(200, "", ""));
        if (request.field("X-Mintknot-Phase") == "prefill") {
            pause_for(30);
            return send_all(
                fd, plain_answer(
                        200, echo + "Content-Type: application/json\r\n",
                        "{\"kv_handle\":\"h" + id +
                            "\",\"tokens\":1000,\"version\":1}"));
        }
        return run_request(fd, request, id, echo);
    }

    bool run_request(
        int fd, const message& request, const string& id, const string& echo) {
        // An engine in need: for so long it wants nothing.
        if (options_.events > 0 && slowness > 1)
            return send_all(
                fd, plain_answer(
                        503,
                        echo + "X-Mintknot-Not-Executed: 1\r\n"
                               "Retry-After: 6\r\n",
                        ""));
        slots_.take();
        note_in(options_.ledger, "run " + id + " " + options_.id);
        const int number = ++runs_;
        const bool open_ended = number % options_.open_one_in == 0;
        const string sealed =
            echo + "X-Mintknot-Response-Seal: 3e1b.07." + id + "\r\n";
        bool sent = true;
        if (options_.events > 0) {
            sent = stream(fd, request, id, sealed);
        } else if (
            options_.unsealed_one_in > 0 &&
            number % options_.unsealed_one_in == 0) {
            pause_for(options_.work_ms);
            sent = send_all(
                fd,
                plain_answer(
                    200, echo, whole_body("junk", options_.unsealed_bytes)));
        } else {
            pause_for(options_.work_ms * slowness.load());
            const string body = whole_body(id, options_.body_bytes);
            sent = send_all(
                fd, open_ended ? "HTTP/1.1 200 OK\r\nConnection: close\r\n" +
                                     sealed + "\r\n" + body
                               : plain_answer(200, sealed, body));
        }
        note_in(
            options_.ledger, string(sent ? "sent " : "unread ") + id + " " +
                                 options_.id +
                                 (open_ended ? " open-ended" : " with-length"));
        const bool closes = open_ended || options_.events > 0;
        if (closes)
            shutdown(fd, SHUT_WR);
        slots_.give();
        return sent && !closes;
    }

    // Every stream ends with its connection, without length or chunks, or is
    // sent in chunks.
    bool stream(
        int fd, const message& request, const string& id,
        const string& sealed) {
        const string after = request.field("Last-Event-Id");
        int next = after.empty() ? 1 : std::atoi(after.c_str()) + 1;
        if (!send_all(
                fd, "HTTP/1.1 200 OK\r\nConnection: close\r\n"
                    "Content-Type: text/event-stream\r\n" +
                        sealed + "\r\n"))
            return false;
        const bool crashes =
            !options_.crash_part.empty() &&
            request.field("X-Mintknot-Prompt-Prefix")
                    .find("," + options_.crash_part + ":") != string::npos;
        for (; next <= options_.events; ++next) {
            pause_for(options_.event_ms);
            if (crashes && next > 1) {
                note_in(options_.ledger, "crash " + id + " " + options_.id);
                kill(getpid(), SIGKILL);
            }
            if (!send_all(
                    fd, event_of(id, next, options_.events, options_.version)))
                return false;
        }
        return true;
    }

    server_options options_;
    slot_queue slots_;
    std::atomic<int> runs_{0};
};

// ----------------------------------------------------------------- the store

class store {
public:
    bool open(const string& host, int port) {
        const int listener = listen_on(host, port);
        if (listener < 0)
            return false;
        std::thread([this, listener] {
            while (true) {
                const int fd =
                    accept4(listener, nullptr, nullptr, SOCK_CLOEXEC);
                if (fd < 0)
                    continue;
                const int on = 1;
                setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
                std::thread([this, fd] {
                    serve(fd);
                    close(fd);
                }).detach();
            }
        }).detach();
        return true;
    }

    void put(const string& table, const string& key, const string& text) {
        const std::lock_guard<std::mutex> held(lock_);
        set(table, key, base64(text), false);
    }

    void remove(const string& table, const string& key) {
        const std::lock_guard<std::mutex> held(lock_);
        set(table, key, "", true);
    }

    // While it is down it answers 503: nothing is done. The operator and the
    // servers do not reach it either.
    void set_down(bool down) {
        const std::lock_guard<std::mutex> held(lock_);
        down_ = down;
        changed_.notify_all();
    }

private:
    struct row {
        string value;
        std::uint64_t version = 0;
        bool gone = false;
    };

    void
    set(const string& table, const string& key, const string& value,
        bool gone) {
        rows_[table][key] = {value, ++version_, gone};
        changed_.notify_all();
    }

    string to_json(const string& table, const string& key, const row& entry) {
        string text = "{\"table\":\"" + table + "\",\"part\":\"\",\"key\":\"" +
                      key + "\",\"ver\":" + std::to_string(entry.version);
        text += entry.gone ? ",\"gone\":true}"
                           : ",\"value\":\"" + entry.value + "\"}";
        return text;
    }

    string
    rows_after(const string& table, std::uint64_t after, bool with_gone) {
        string rows;
        for (const auto& [key, entry] : rows_[table])
            if (entry.version > after && (with_gone || !entry.gone))
                rows += (rows.empty() ? "" : ",") + to_json(table, key, entry);
        return "{\"rows\":[" + rows +
               "],\"more\":false,\"ver\":" + std::to_string(version_) +
               ",\"now_ms\":" + std::to_string(since_begin() + 1000) + "}";
    }

    static string parameter(const string& target, const string& name) {
        const std::size_t at = target.find(name + "=");
        if (at == string::npos)
            return {};
        const std::size_t begin = at + name.size() + 1;
        return target.substr(begin, target.find_first_of("& ", begin) - begin);
    }

    string handle(const message& request) {
        std::unique_lock<std::mutex> held(lock_);
        const string target = request.first.substr(request.first.find(' ') + 1);
        const string table = parameter(target, "table");
        if (down_)
            return answer(503, "{}");
        if (target.rfind("/mintknot/rows-get", 0) == 0) {
            if (!parameter(target, "source").empty())
                return answer(
                    200, "{\"rows\":[],\"more\":false,\"ver\":" +
                             std::to_string(version_) + "}");
            return answer(200, rows_after(table, 0, false));
        }
        if (target.rfind("/mintknot/rows-feed", 0) == 0) {
            const std::uint64_t after =
                std::strtoull(parameter(target, "after").c_str(), nullptr, 10);
            const auto wait =
                ms(std::atoi(parameter(target, "wait_ms").c_str()));
            changed_.wait_for(held, wait, [&] {
                if (down_)
                    return true;
                for (const auto& [key, entry] : rows_[table])
                    if (entry.version > after)
                        return true;
                return false;
            });
            return down_ ? answer(503, "{}")
                         : answer(200, rows_after(table, after, true));
        }
        if (target.rfind("/mintknot/rows-tx", 0) == 0)
            return write(request.body);
        return answer(404, "{}");
    }

    string write(const string& body) {
        const std::size_t split = body.find("\"put\"");
        if (split == string::npos)
            return answer(400, "{}");
        const string condition = body.substr(0, split);
        const string change = body.substr(split);
        const string table = field_of(change, "table");
        const string key = field_of(change, "key");
        const auto found = rows_[table].find(key);
        const std::uint64_t now =
            found == rows_[table].end() || found->second.gone
                ? 0
                : found->second.version;
        if (now !=
            std::strtoull(field_of(condition, "ver").c_str(), nullptr, 10))
            return answer(412, rows_after(table, 0, false));
        set(table, key, field_of(change, "value"), false);
        return answer(
            200, "{\"ver\":" + std::to_string(version_) + ",\"now_ms\":" +
                     std::to_string(since_begin() + 1000) + "}");
    }

    static string answer(int status, const string& body) {
        return plain_answer(
            status, "Content-Type: application/json\r\nStore-Era: 1\r\n", body);
    }

    void serve(int fd) {
        reader from(fd);
        while (true) {
            message request;
            if (!from.read_request(
                    request, clock_type::now() + std::chrono::seconds(120)) ||
                !send_all(fd, handle(request)))
                return;
        }
    }

    std::mutex lock_;
    std::condition_variable changed_;
    std::map<string, std::map<string, row>> rows_;
    std::uint64_t version_ = 100;
    bool down_ = false;
};

// --------------------------------------------------------------- the harness

struct outcome {
    string id;
    message answer;
    long long took_ms = 0;
    bool connected = false;
};

class deployment {
public:
    deployment(string root, string folder)
        : root_(std::move(root))
        , folder_(std::move(folder)) {
        std::random_device random;
        prefix_ = "127." + std::to_string(64 + random() % 120) + "." +
                  std::to_string(1 + random() % 250) + ".";
        char name[] = "/tmp/review-XXXXXX";
        temporary_ = mkdtemp(name);
        record_.open(folder_ + "/record.txt");
    }

    ~deployment() { stop(); }

    void stop() {
        for (const pid_t child : children_)
            if (child > 0) {
                kill(child, SIGCONT);
                kill(child, SIGKILL);
                waitpid(child, nullptr, 0);
            }
        children_.clear();
        const string command = "rm -rf " + temporary_;
        if (std::system(command.c_str()) != 0)
            std::perror("rm");
    }

    void note(const string& line) {
        const std::lock_guard<std::mutex> held(record_lock_);
        record_ << since_begin() << " ms: " << line << std::endl;
    }

    string host(int number) const { return prefix_ + std::to_string(number); }
    string ledger() const { return temporary_ + "/ledger"; }

    bool open_store() { return rows.open(host(5), 8142); }

    pid_t start(
        const std::vector<string>& command, const string& variable,
        const string& output) {
        const pid_t child = fork();
        if (child != 0) {
            children_.push_back(child);
            return child;
        }
        prctl(PR_SET_PDEATHSIG, SIGKILL);
        if (chdir(root_.c_str()) != 0)
            _exit(2);
        const int log =
            open(output.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
        dup2(log, 1);
        dup2(log, 2);
        if (!variable.empty())
            setenv("MINTKNOT_NODE_FILE", variable.c_str(), 1);
        std::vector<char*> words;
        for (const string& word : command)
            words.push_back(const_cast<char*>(word.c_str()));
        words.push_back(nullptr);
        execv(words[0], words.data());
        _exit(127);
    }

    // @return whether a process has ended, which is then no child any more.
    bool has_ended(pid_t child) {
        if (waitpid(child, nullptr, WNOHANG) != child)
            return false;
        children_.erase(std::find(children_.begin(), children_.end(), child));
        return true;
    }

    // With the command of deploy/system.toml.
    pid_t start_instance(int number, int count, bool first = true) {
        const string path = temporary_ + "/boot-" + std::to_string(number);
        std::ofstream file(path);
        const string ip = host(10 + number);
        file << "node=front-hall-" << number << "-1\nrole=router\n"
             << "machine_class=front\nserves=front,control\nip=" << ip
             << "\nzone=hall-" << number << "\nregion=vastra\n";
        for (int zone = 1; zone <= count; ++zone)
            file << "zones.hall-" << zone << "=vastra\n";
        file << "listen.front=" << ip << ":8149\nlisten.readiness=" << ip
             << ":8141\nlisten.control=" << ip
             << ":8144\nport_range=7380,7395\nseeds=";
        for (int zone = 1; zone <= count; ++zone)
            file << (zone == 1 ? "" : ",") << host(10 + zone) << ":8144";
        file << "\nbootstrap=" << (first ? "true" : "false")
             << "\nin_fault_domain=false\n"
                "limits.cpu_share=0.25\nlimits.cores=1\nlimits.memory_mb=260\n"
                "limits.max_fds=4100\nlimits.link_mbps=1000.0\n"
                "limits.disk_mb=0\ndiscovery=platform\nentry=vip\n"
                "heartbeat_ms=1200\ncontracts=base,drain,config,cost,retry,"
                "recover,split,stream,engine,platform\n"
                "fault_tolerance.machines=1\nfault_tolerance.zones=1\n"
                "fault_tolerance.regions=0\nbounds.seed_lag_s=3\n"
                "bounds.reuse_after_s=2\nbounds.contact_ms=3000\n"
                "bounds.ack_ms=4000\nbounds.catch_up_s=4\n"
                "bounds.drain_ms=2000\nbounds.grace_s=8\n"
                "bounds.loss_slack_ms=200\nbounds.config_apply_ms=2000\n"
                "bounds.rollback_slack_ms=250\nbounds.max_stretch_ms=5000\n"
                "bounds.retry_budget_ratio=0.2\nbounds.budget_window_s=10\n"
                "bounds.budget_extra=56\nbounds.recovery_s=12\n"
                "bounds.transit_ms=120\nbounds.retry_after_s=6.9\n"
                "bounds.require_fence=true\nbounds.lease_ms=3000\n"
                "bounds.thaw_slack_ms=300\nplatform.address="
             << host(5)
             << ":8142\nplatform.form=table\nplatform.writes_per_s=400\n"
                "platform.reads_per_s=2000\nplatform.tx_ms=3.0\n"
                "platform.part_writes_per_s=300\nplatform.row_bytes=65536\n"
                "platform.across=true\nplatform.history_s=20\n"
                "platform.blob_bytes=8388608\nplatform.blob_ms=25.0\n"
                "platform.blob_mb_per_s=80.0\n";
        file.close();
        return start(
            {root_ + "/target/bin/mintknotd-platform", "--metrics-port",
             "9464"},
            path, temporary_ + "/log-" + std::to_string(number));
    }

    pid_t start_server(
        const string& self, int number, const std::vector<string>& more,
        long long born = 0) {
        std::vector<string> command = {
            self,       "server",
            "--host",   host(100 + number),
            "--port",   "8080",
            "--id",     "i-" + std::to_string(number),
            "--born",   std::to_string(born == 0 ? born_ : born),
            "--ledger", ledger()};
        command.insert(command.end(), more.begin(), more.end());
        return start(command, "", temporary_ + "/server-log");
    }

    void put_server(
        int number, const string& service, const string& state,
        const string& phase, int zones, int slots, const string& version = "v1",
        long long born = 0) {
        string row = "{\"service\":\"" + service + "\",\"address\":\"" +
                     host(100 + number) + ":8080\",\"zone\":\"hall-" +
                     std::to_string(1 + number % zones) + "\",\"version\":\"" +
                     version + "\",\"slots\":" + std::to_string(slots) +
                     ",\"state\":\"" + state +
                     "\",\"cold_left_ms\":0,\"born\":" +
                     std::to_string(born == 0 ? born_ : born) + ",\"seq_no\":0";
        if (!phase.empty())
            row += ",\"phase\":\"" + phase +
                   "\",\"models\":[{\"name\":\"m\",\"version\":1,"
                   "\"adapters\":[]}]";
        rows.put("servers", "i-" + std::to_string(number), row + "}");
    }

    bool await_ready(int count) {
        const auto until = clock_type::now() + std::chrono::seconds(20);
        for (int number = 1; number <= count; ++number)
            while (true) {
                if (clock_type::now() > until)
                    return false;
                const outcome seen = call(
                    host(10 + number), 8141,
                    "GET /mintknot/readiness HTTP/1.1\r\nHost: x\r\n"
                    "Connection: close\r\n\r\n",
                    "", 1000);
                if (seen.answer.status() == 200)
                    break;
                pause_for(100);
            }
        return true;
    }

    static outcome call(
        const string& where, int port, const string& request, const string& id,
        long long patience_ms) {
        outcome seen;
        seen.id = id;
        const auto start = clock_type::now();
        const int fd = connect_to(where, port);
        if (fd < 0)
            return seen;
        seen.connected = true;
        if (send_all(fd, request))
            reader(fd).read_answer(seen.answer, start + ms(patience_ms));
        close(fd);
        seen.took_ms =
            std::chrono::duration_cast<ms>(clock_type::now() - start).count();
        return seen;
    }

    std::set<string> ids_in_ledger(const string& word) const {
        std::ifstream file(ledger());
        std::set<string> ids;
        string line;
        while (std::getline(file, line)) {
            std::istringstream words(line);
            string first;
            string id;
            words >> first >> id;
            if (first == word)
                ids.insert(id);
        }
        return ids;
    }

    void copy_ledger() {
        std::ifstream file(ledger());
        string line;
        while (std::getline(file, line))
            record_ << "ledger: " << line << "\n";
        record_.flush();
    }

    void copy_log_lines(const string& id, int count) {
        for (int number = 1; number <= count; ++number) {
            std::ifstream file(temporary_ + "/log-" + std::to_string(number));
            string line;
            while (std::getline(file, line))
                if (line.find(id) != string::npos)
                    record_ << "instance " << number << ": " << line << "\n";
        }
        record_.flush();
    }

    // Never destroyed: threads of its own wait in it until the end.
    store& rows = *new store;

private:
    string root_, folder_, prefix_, temporary_;
    std::vector<pid_t> children_;
    std::ofstream record_;
    std::mutex record_lock_;
    long long born_ = wall_ms() - 60000;
};

string new_id(std::mt19937_64& random) {
    char text[20];
    std::snprintf(
        text, sizeof text, "%016llx",
        static_cast<unsigned long long>(random()));
    return text;
}

string plain_request(
    const string& method, const string& path, const string& id, int deadline,
    const string& fields, const string& body) {
    return method + " " + path + " HTTP/1.1\r\nHost: ficu95.example\r\n" +
           "X-Mintknot-Request-Id: " + id + "\r\n" + fields +
           "X-Mintknot-Deadline-Ms: " + std::to_string(deadline) +
           "\r\nConnection: close\r\n" +
           (body.empty()
                ? string()
                : "Content-Length: " + std::to_string(body.size()) + "\r\n") +
           "\r\n" + body;
}

const char* const limits_text =
    "\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,"
    "\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}}";

struct harness {
    string self, root, folder;
    bool trouble = true;
    int seconds = 30;
};

constexpr int zones = 3;

bool start_three(deployment& system) {
    for (int number = 1; number <= zones; ++number)
        system.start_instance(number, zones);
    return system.await_ready(zones);
}

#include "cases.inc"

} // namespace

int main(int argc, char** argv) {
    signal(SIGPIPE, SIG_IGN);
    std::map<string, string> given;
    for (int i = 2; i + 1 < argc; i += 2)
        given[argv[i]] = argv[i + 1];
    const auto number = [&](const string& name, int fallback) {
        const auto found = given.find(name);
        return found == given.end() ? fallback
                                    : std::atoi(found->second.c_str());
    };
    if (argc > 2 && string(argv[1]) == "server") {
        server_options options;
        options.host = given["--host"];
        options.port = number("--port", 0);
        options.born = given["--born"];
        options.id = given["--id"];
        options.phase = given["--phase"];
        options.ledger = given["--ledger"];
        if (given.count("--version") > 0)
            options.version = given["--version"];
        options.crash_part = given["--crash-part"];
        options.slots = number("--slots", options.slots);
        options.work_ms = number("--work", options.work_ms);
        options.events = number("--events", 0);
        options.event_ms = number("--event-ms", options.event_ms);
        options.open_one_in = number("--open-one-in", options.open_one_in);
        options.body_bytes = number("--body", options.body_bytes);
        options.unsealed_one_in = number("--unsealed-one-in", 0);
        options.unsealed_bytes = number("--unsealed-bytes", 0);
        signal(SIGUSR1, [](int) { slowness = 5; });
        signal(SIGUSR2, [](int) { slowness = 1; });
        return server(options).run();
    }
    if (argc > 2 && string(argv[1]) == "run") {
        harness what;
        what.self = given["--self"];
        what.root = given["--root"];
        what.folder = given["--folder"];
        what.seconds = number("--seconds", what.seconds);
        const char* trouble = std::getenv("TROUBLE");
        what.trouble = trouble == nullptr || string(trouble) != "0";
        const int result = run_case(given["--case"], what);
        std::fflush(nullptr);
        _exit(result);
    }
    std::fprintf(stderr, "review_tool server|run ...\n");
    return 2;
}
