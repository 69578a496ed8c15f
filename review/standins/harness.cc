#include "harness.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <chrono>
#include <cstdlib>
#include <cstring>
#include <filesystem>
#include <random>
#include <sstream>

namespace review {

namespace {

std::string lower(std::string text) {
    std::transform(text.begin(), text.end(), text.begin(), [](unsigned char c) {
        return static_cast<char>(std::tolower(c));
    });
    return text;
}

sockaddr_in socket_address(const std::string& host, int port) {
    sockaddr_in where{};
    where.sin_family = AF_INET;
    where.sin_port = htons(static_cast<std::uint16_t>(port));
    ::inet_pton(AF_INET, host.c_str(), &where.sin_addr);
    return where;
}

bool can_bind(const std::string& host, int port, int type) {
    const int probe = ::socket(AF_INET, type | SOCK_CLOEXEC, 0);
    const sockaddr_in where = socket_address(host, port);
    const bool free =
        ::bind(probe, reinterpret_cast<const sockaddr*>(&where),
               sizeof where) == 0;
    ::close(probe);
    return free;
}

/// Parses the head of a message. @return the bytes that it takes, or 0.
std::size_t parse_head(const std::string& bytes, message& result) {
    const std::size_t end = bytes.find("\r\n\r\n");
    if (end == std::string::npos)
        return 0;
    std::istringstream lines(bytes.substr(0, end));
    std::string line;
    std::getline(lines, line);
    if (!line.empty() && line.back() == '\r')
        line.pop_back();
    result.first_line = line;
    while (std::getline(lines, line)) {
        if (!line.empty() && line.back() == '\r')
            line.pop_back();
        const std::size_t colon = line.find(':');
        if (colon == std::string::npos)
            continue;
        std::size_t value = colon + 1;
        while (value < line.size() && line[value] == ' ')
            ++value;
        result.fields.emplace_back(line.substr(0, colon), line.substr(value));
    }
    return end + 4;
}

std::string base64(const std::string& bytes) {
    static const char* letters =
        "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string out;
    for (std::size_t i = 0; i < bytes.size(); i += 3) {
        std::uint32_t block = 0;
        for (std::size_t k = 0; k < 3; ++k)
            block = block << 8 |
                    (i + k < bytes.size()
                         ? static_cast<unsigned char>(bytes[i + k])
                         : 0U);
        for (std::size_t k = 0; k < 4; ++k)
            out += i + k <= bytes.size()
                       ? letters[block >> (18 - 6 * k) & 63]
                       : '=';
    }
    return out;
}

std::string query_value(const std::string& target, const std::string& name) {
    const std::size_t mark = target.find('?');
    if (mark == std::string::npos)
        return {};
    std::istringstream parts(target.substr(mark + 1));
    std::string part;
    while (std::getline(parts, part, '&'))
        if (part.starts_with(name + "="))
            return part.substr(name.size() + 1);
    return {};
}

std::string repository() {
    const char* given = std::getenv("REPOSITORY");
    return given == nullptr ? "." : given;
}

} // namespace

std::int64_t now_ms() {
    return std::chrono::duration_cast<std::chrono::milliseconds>(
               std::chrono::steady_clock::now().time_since_epoch())
        .count();
}

void sleep_ms(int ms) {
    std::this_thread::sleep_for(std::chrono::milliseconds(ms));
}

run_record::run_record(const std::string& path)
    : out_(path)
    , began_(now_ms()) {}

void run_record::write(const std::string& line) {
    const std::lock_guard<std::mutex> lock(guard_);
    out_ << now_ms() - began_ << " " << line << "\n" << std::flush;
}

std::string message::field(const std::string& name) const {
    for (const auto& [key, value] : fields)
        if (lower(key) == lower(name))
            return value;
    return {};
}

std::string message::method() const {
    return first_line.substr(0, first_line.find(' '));
}

std::string message::path() const {
    const std::size_t begin = first_line.find(' ');
    if (begin == std::string::npos)
        return {};
    return first_line.substr(
        begin + 1, first_line.find(' ', begin + 1) - begin - 1);
}

int message::status() const {
    const std::size_t begin = first_line.find(' ');
    return begin == std::string::npos
               ? 0
               : std::atoi(first_line.c_str() + begin + 1);
}

std::string to_string(answer_end how) {
    switch (how) {
    case answer_end::complete:
        return "complete";
    case answer_end::cut:
        return "cut";
    case answer_end::reset:
        return "reset";
    case answer_end::not_answered:
        return "not answered";
    }
    return {};
}

connection::connection(int descriptor)
    : descriptor_(descriptor) {
    const int on = 1;
    ::setsockopt(descriptor_, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
}

connection::~connection() {
    close();
}

std::unique_ptr<connection>
connection::open(const std::string& host, int port, int timeout_ms) {
    const int descriptor =
        ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
    const sockaddr_in where = socket_address(host, port);
    if (::connect(
            descriptor, reinterpret_cast<const sockaddr*>(&where),
            sizeof where) != 0 &&
        errno != EINPROGRESS) {
        ::close(descriptor);
        return nullptr;
    }
    pollfd waiting{descriptor, POLLOUT, 0};
    int error = 0;
    socklen_t size = sizeof error;
    if (::poll(&waiting, 1, timeout_ms) != 1 ||
        ::getsockopt(descriptor, SOL_SOCKET, SO_ERROR, &error, &size) != 0 ||
        error != 0) {
        ::close(descriptor);
        return nullptr;
    }
    ::fcntl(descriptor, F_SETFL, ::fcntl(descriptor, F_GETFL) & ~O_NONBLOCK);
    return std::make_unique<connection>(descriptor);
}

bool connection::write(const std::string& bytes) {
    std::size_t sent = 0;
    while (descriptor_ >= 0 && sent < bytes.size()) {
        const ssize_t count = ::send(
            descriptor_, bytes.data() + sent, bytes.size() - sent,
            MSG_NOSIGNAL);
        if (count <= 0)
            return false;
        sent += static_cast<std::size_t>(count);
    }
    return descriptor_ >= 0;
}

connection::outcome connection::read_more(std::int64_t until) {
    if (descriptor_ < 0)
        return outcome::end;
    pollfd waiting{descriptor_, POLLIN, 0};
    const std::int64_t left = until - now_ms();
    if (left <= 0 || ::poll(&waiting, 1, static_cast<int>(left)) != 1)
        return outcome::timeout;
    char buffer[16384];
    const ssize_t count = ::recv(descriptor_, buffer, sizeof buffer, 0);
    if (count < 0)
        return outcome::reset;
    if (count == 0)
        return outcome::end;
    pending_.append(buffer, static_cast<std::size_t>(count));
    return outcome::data;
}

bool connection::read_request(message& request, int timeout_ms) {
    const std::int64_t until = now_ms() + timeout_ms;
    request = {};
    std::size_t head = 0;
    while ((head = parse_head(pending_, request)) == 0)
        if (read_more(until) != outcome::data)
            return false;
    const std::string length = request.field("Content-Length");
    const std::size_t body =
        length.empty() ? 0 : static_cast<std::size_t>(std::atoll(length.c_str()));
    while (pending_.size() < head + body)
        if (read_more(until) != outcome::data)
            return false;
    request.body = pending_.substr(head, body);
    pending_.erase(0, head + body);
    return true;
}

answer connection::read_answer(
    int timeout_ms, const std::function<void()>& on_head) {
    const std::int64_t until = now_ms() + timeout_ms;
    answer result;
    std::size_t head = 0;
    while ((head = parse_head(pending_, result.head)) == 0) {
        const outcome got = read_more(until);
        if (got == outcome::data)
            continue;
        result.how = got == outcome::reset       ? answer_end::reset
                     : pending_.empty()          ? answer_end::not_answered
                     : got == outcome::timeout   ? answer_end::not_answered
                                                 : answer_end::cut;
        return result;
    }
    pending_.erase(0, head);
    if (on_head)
        on_head();
    const bool chunked =
        lower(result.head.field("Transfer-Encoding")) == "chunked";
    const std::string length = result.head.field("Content-Length");
    result.until_close = !chunked && length.empty();
    if (!length.empty() && !chunked) {
        const auto size = static_cast<std::size_t>(std::atoll(length.c_str()));
        while (pending_.size() < size) {
            const outcome got = read_more(until);
            if (got == outcome::data)
                continue;
            result.how =
                got == outcome::reset ? answer_end::reset : answer_end::cut;
            result.head.body = pending_;
            return result;
        }
        result.head.body = pending_.substr(0, size);
        pending_.erase(0, size);
        result.how = answer_end::complete;
        return result;
    }
    while (chunked) {
        std::size_t line = 0;
        outcome got = outcome::data;
        while ((line = pending_.find("\r\n")) == std::string::npos &&
               got == outcome::data)
            got = read_more(until);
        std::size_t size = 0;
        if (line != std::string::npos)
            size = std::strtoull(pending_.c_str(), nullptr, 16);
        while (line != std::string::npos &&
               pending_.size() < line + 2 + size + 2 && got == outcome::data)
            got = read_more(until);
        if (got != outcome::data) {
            result.how =
                got == outcome::reset ? answer_end::reset : answer_end::cut;
            return result;
        }
        result.head.body += pending_.substr(line + 2, size);
        pending_.erase(0, line + 2 + size + 2);
        if (size == 0) {
            result.how = answer_end::complete;
            return result;
        }
    }
    outcome got = outcome::data;
    while (got == outcome::data)
        got = read_more(until);
    result.head.body = pending_;
    pending_.clear();
    result.how = got == outcome::end     ? answer_end::complete
                 : got == outcome::reset ? answer_end::reset
                                         : answer_end::cut;
    return result;
}

void connection::reset() {
    if (descriptor_ < 0)
        return;
    const linger at_once{1, 0};
    ::setsockopt(descriptor_, SOL_SOCKET, SO_LINGER, &at_once, sizeof at_once);
    close();
}

void connection::close() {
    if (descriptor_ >= 0)
        ::close(descriptor_);
    descriptor_ = -1;
}

http_server::http_server(const std::string& host, handler serve)
    : host_(host)
    , serve_(std::move(serve)) {
    listener_ = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in where = socket_address(host, 0);
    ::bind(listener_, reinterpret_cast<const sockaddr*>(&where), sizeof where);
    ::listen(listener_, 512);
    socklen_t size = sizeof where;
    ::getsockname(listener_, reinterpret_cast<sockaddr*>(&where), &size);
    port_ = ntohs(where.sin_port);
    acceptor_ = std::thread([this] { accept_all(); });
}

http_server::~http_server() {
    stopped_ = true;
    ::shutdown(listener_, SHUT_RDWR);
    acceptor_.join();
    ::close(listener_);
}

std::string http_server::address() const {
    return host_ + ":" + std::to_string(port_);
}

void http_server::accept_all() {
    while (!stopped_) {
        const int accepted =
            ::accept4(listener_, nullptr, nullptr, SOCK_CLOEXEC);
        if (accepted < 0)
            continue;
        // The process ends soon after a run: threads are left to it.
        std::thread([this, accepted] {
            connection link(accepted);
            message request;
            while (!stopped_ && link.read_request(request, 60000))
                if (!serve_(request, link))
                    return;
        }).detach();
    }
}

std::string http_answer(
    int status,
    const std::vector<std::pair<std::string, std::string>>& fields,
    const std::string& body) {
    std::string out = "HTTP/1.1 " + std::to_string(status) + " Status\r\n";
    for (const auto& [name, value] : fields)
        out += name + ": " + value + "\r\n";
    out += "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n";
    return out + body;
}

store::store(const std::string& host)
    : server_(host, [this](const message& request, connection& link) {
        return serve(request, link);
    }) {}

void store::put(
    const std::string& table, const std::string& key,
    const std::string& value) {
    const std::lock_guard<std::mutex> lock(guard_);
    rows_[{table, key}] = {value, ++version_, false};
    changed_.notify_all();
}

void store::remove(const std::string& table, const std::string& key) {
    const std::lock_guard<std::mutex> lock(guard_);
    rows_[{table, key}] = {"", ++version_, true};
    changed_.notify_all();
}

std::string store::rows_of(
    const std::string& table, std::uint64_t after, bool with_gone, bool& any) {
    std::string rows;
    for (const auto& [place, entry] : rows_) {
        if (place.first != table || entry.version <= after ||
            (entry.gone && !with_gone))
            continue;
        rows += rows.empty() ? "" : ",";
        rows += "{\"table\":\"" + table + "\",\"part\":\"\",\"key\":\"" +
                place.second + "\",\"ver\":" + std::to_string(entry.version) +
                (entry.gone ? std::string(",\"gone\":true")
                            : ",\"value\":\"" + base64(entry.value) + "\"") +
                "}";
    }
    any = !rows.empty();
    return "{\"rows\":[" + rows +
           "],\"more\":false,\"ver\":" + std::to_string(version_) +
           ",\"now_ms\":" + std::to_string(now_ms()) + "}";
}

bool store::serve(const message& request, connection& link) {
    const std::string target = request.path();
    const std::string table = query_value(target, "table");
    const std::vector<std::pair<std::string, std::string>> fields{
        {"Content-Type", "application/json"}, {"Store-Era", "1"}};
    std::unique_lock<std::mutex> lock(guard_);
    bool any = false;
    if (target.starts_with("/mintknot/rows-get")) {
        // All rows fit into one answer, so nothing lies behind any key.
        const std::string rows =
            query_value(target, "source").empty()
                ? rows_of(table, 0, false, any)
                : rows_of("", 0, false, any);
        lock.unlock();
        return link.write(http_answer(200, fields, rows));
    }
    if (target.starts_with("/mintknot/rows-feed")) {
        const std::uint64_t after =
            std::strtoull(query_value(target, "after").c_str(), nullptr, 10);
        const std::int64_t until =
            now_ms() + std::atoll(query_value(target, "wait_ms").c_str());
        std::string rows = rows_of(table, after, true, any);
        while (!any && now_ms() < until) {
            changed_.wait_for(
                lock, std::chrono::milliseconds(
                          std::max<std::int64_t>(1, until - now_ms())));
            rows = rows_of(table, after, true, any);
        }
        lock.unlock();
        return link.write(http_answer(200, fields, rows));
    }
    lock.unlock();
    return link.write(http_answer(503, fields, "{}"));
}

std::string zone_of(int number) {
    const char* const zones[] = {
        "abbotsford-hall", "chilliwack-hall", "mission-hall"};
    return zones[number % 3];
}

std::string addresses::host(int instance) const {
    return network + "." + std::to_string(11 + instance);
}

addresses find_addresses(int instances) {
    std::random_device random;
    for (int attempt = 0; attempt < 100; ++attempt) {
        addresses found;
        found.network = "127." + std::to_string(20 + random() % 200) + "." +
                        std::to_string(random() % 250);
        found.front = 20000 + static_cast<int>(random() % 10000);
        found.readiness = found.front + 1;
        found.first_inner = found.front + 2;
        bool free = true;
        for (int i = 0; free && i < instances; ++i) {
            const std::string host = found.host(i);
            free = can_bind(host, 9464, SOCK_STREAM);
            for (int port = 0; free && port < 18; ++port)
                free = can_bind(host, found.front + port, SOCK_STREAM) &&
                       can_bind(host, found.front + port, SOCK_DGRAM);
        }
        if (free)
            return found;
    }
    return {};
}

instance::instance(
    int number, const addresses& where, const std::string& store,
    const std::string& folder)
    : name_("front-" + std::to_string(number))
    , host_(where.host(number))
    , where_(where)
    , settings_(folder + "/" + name_ + ".conf")
    , log_(folder + "/" + name_ + ".log") {
    const auto at = [&](int port) { return host_ + ":" + std::to_string(port); };
    std::ofstream out(settings_);
    out << "node=" << name_ << "\nrole=router\nmachine_class=front\n"
        << "serves=front,control\nip=" << host_ << "\nzone="
        << zone_of(number)
        << "\nregion=fraser-valley\nzones.abbotsford-hall=fraser-valley\n"
           "zones.chilliwack-hall=fraser-valley\n"
           "zones.mission-hall=fraser-valley\nlisten.front="
        << at(where.front) << "\nlisten.readiness=" << at(where.readiness)
        << "\nlisten.control=" << at(where.first_inner + 15)
        << "\nport_range=" << where.first_inner << ","
        << where.first_inner + 14 << "\nseeds=" << where.host(0) << ":"
        << where.first_inner + 15 << "," << where.host(1) << ":"
        << where.first_inner + 15
        << "\nbootstrap=true\nin_fault_domain=false\nlimits.cpu_share=0.25\n"
           "limits.cores=1\nlimits.memory_mb=260\nlimits.max_fds=4100\n"
           "limits.link_mbps=1000.0\nlimits.disk_mb=0\ndiscovery=platform\n"
           "entry=vip\nheartbeat_ms=1200\n"
           "contracts=base,drain,config,cost,retry,recover,split,stream,"
           "engine,platform\nfault_tolerance.machines=1\n"
           "fault_tolerance.zones=1\nfault_tolerance.regions=0\n"
           "bounds.seed_lag_s=3\nbounds.reuse_after_s=2\n"
           "bounds.contact_ms=3000\nbounds.ack_ms=4000\n"
           "bounds.catch_up_s=4\nbounds.drain_ms=2000\nbounds.grace_s=8\n"
           "bounds.loss_slack_ms=200\nbounds.config_apply_ms=2000\n"
           "bounds.rollback_slack_ms=250\nbounds.max_stretch_ms=5000\n"
           "bounds.retry_budget_ratio=0.2\nbounds.budget_window_s=10\n"
           "bounds.budget_extra=56\nbounds.recovery_s=12\n"
           "bounds.transit_ms=120\nbounds.retry_after_s=6.9\n"
           "bounds.require_fence=true\nbounds.lease_ms=3000\n"
           "bounds.thaw_slack_ms=300\nplatform.address="
        << store
        << "\nplatform.form=table\nplatform.writes_per_s=400\n"
           "platform.reads_per_s=2000\nplatform.tx_ms=3.0\n"
           "platform.part_writes_per_s=300\nplatform.row_bytes=65536\n"
           "platform.across=true\nplatform.history_s=20\n";
}

instance::~instance() {
    if (process_ > 0 && !ended()) {
        ::kill(process_, SIGKILL);
        ::waitpid(process_, &status_, 0);
    }
}

void instance::start() {
    const std::string root = repository();
    const std::string variable = "MINTKNOT_NODE_FILE=" + settings_;
    const pid_t parent = ::getpid();
    process_ = ::fork();
    if (process_ != 0)
        return;
    // It does not outlive the run, however that ends.
    ::prctl(PR_SET_PDEATHSIG, SIGKILL);
    if (::getppid() != parent)
        ::_exit(127);
    const int log =
        ::open(log_.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
    ::dup2(log, STDOUT_FILENO);
    ::dup2(log, STDERR_FILENO);
    if (::chdir(root.c_str()) != 0)
        ::_exit(127);
    // The command of the deploy file; a full build has the same program.
    const char* places[] = {"target/bin/mintknotd-platform",
                            "build/bin/mintknotd-platform"};
    const char* path = std::getenv("PATH");
    const std::string path_variable =
        std::string("PATH=") + (path == nullptr ? "/usr/bin:/bin" : path);
    const char* const variables[] = {
        variable.c_str(), path_variable.c_str(), "LANG=C.UTF-8", nullptr};
    for (const char* program : places) {
        const char* const arguments[] = {
            program, "--metrics-port", "9464", nullptr};
        ::execve(
            program, const_cast<char* const*>(arguments),
            const_cast<char* const*>(variables));
    }
    ::_exit(127);
}

void instance::send_signal(int number) {
    if (process_ > 0 && !ended())
        ::kill(process_, number);
}

bool instance::ended() {
    if (process_ <= 0)
        return true;
    if (::waitpid(process_, &status_, WNOHANG) == process_)
        process_ = -1;
    return process_ <= 0;
}

std::string instance::how_it_ended() const {
    if (WIFSIGNALED(status_))
        return "signal " + std::to_string(WTERMSIG(status_));
    return "exit status " + std::to_string(WEXITSTATUS(status_));
}

bool instance::wait_until_ready(int timeout_ms) {
    const std::int64_t until = now_ms() + timeout_ms;
    while (now_ms() < until && !ended()) {
        const auto link = connection::open(host_, where_.readiness, 300);
        if (link != nullptr &&
            link->write("GET /mintknot/readiness HTTP/1.1\r\nHost: ready\r\n"
                        "Connection: close\r\n\r\n") &&
            link->read_answer(500).head.status() == 200)
            return true;
        sleep_ms(50);
    }
    return false;
}

temporary_folder::temporary_folder() {
    std::string form =
        std::filesystem::temp_directory_path().string() + "/review-XXXXXX";
    path_ = ::mkdtemp(form.data()) == nullptr ? "." : form;
}

temporary_folder::~temporary_folder() {
    if (std::getenv("KEEP") == nullptr)
        std::filesystem::remove_all(path_);
}

std::string server_row(
    const std::string& service, const std::string& address,
    const std::string& zone, int slots, const std::string& phase) {
    std::string row = "{\"service\":\"" + service + "\",\"address\":\"" +
                      address + "\",\"zone\":\"" + zone +
                      "\",\"version\":\"v1\",\"slots\":" +
                      std::to_string(slots) +
                      ",\"state\":\"ready\",\"cold_left_ms\":0,\"seq_no\":1";
    if (!phase.empty())
        row += ",\"phase\":\"" + phase +
               "\",\"models\":[{\"name\":\"m\",\"version\":1,\"adapters\":[]}]";
    return row + "}";
}

bool with_trouble() {
    const char* given = std::getenv("TROUBLE");
    return given == nullptr || std::string(given) != "0";
}

} // namespace review
