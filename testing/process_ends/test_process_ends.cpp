/// @file
/// What processes that end by themselves leave in their logs. Each of the tests
/// ends a real process.

#include <mintknot/harness/child_process.hpp>
#include <mintknot/harness/free_ports.hpp>
#include <mintknot/harness/scratch_directory.hpp>

#include <criterion/criterion.h>
#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include <unistd.h>

#include <chrono>
#include <csignal>
#include <fstream>
#include <string>
#include <thread>
#include <utility>
#include <vector>

using namespace mintknot;
using nlohmann::json;

namespace {

constexpr int signal_base = 128;
constexpr std::chrono::seconds start_limit{10};

/// Lines of JSON; others, as those of the runtime library, are left out.
std::vector<json> json_lines(std::istream& in) {
    std::vector<json> lines;
    for (std::string text; std::getline(in, text);) {
        json line = json::parse(text, nullptr, false);
        if (line.is_object())
            lines.push_back(std::move(line));
    }
    return lines;
}

std::vector<json>
with_event(const std::vector<json>& lines, const std::string& event) {
    std::vector<json> found;
    for (const json& line : lines)
        if (line.value("event", "") == event)
            found.push_back(line);
    return found;
}

std::vector<json> lines_of(const std::string& log) {
    std::ifstream in(log);
    return json_lines(in);
}

struct ended_process {
    int code = 0; ///< As harness::child_process::wait() tells it.
    std::vector<json> lines;
    std::string log;
};

/// Runs a process that ends in one of the ways of process_end_main.cpp.
ended_process
run(const std::string& way,
    harness::output_use output = harness::output_use::log) {
    const harness::scratch_directory directory;
    const std::string log = directory.path + "/log";
    harness::child_process process("process-end", {way}, log, output);
    ended_process ended;
    ended.code = process.wait();
    ended.lines = lines_of(log);
    std::ifstream in(log);
    std::getline(in, ended.log, '\0');
    return ended;
}

/// @return the only line of a process.
json last_line(const ended_process& ended) {
    cr_assert(ended.lines.size() == 1, "%zu lines", ended.lines.size());
    const json& line = ended.lines.front();
    cr_assert(line.at("event") == "process_ended");
    cr_assert(line.at("instance") == "i1");
    cr_assert(line.at("version") == "1.2.3");
    cr_assert(line.at("commit") == "0123456789ab");
    cr_assert(line.at("at").get<std::int64_t>() > 0);
    return line;
}

std::string write_settings(const harness::scratch_directory& directory) {
    std::string path = directory.path + "/settings";
    const int port = harness::free_port();
    std::ofstream(path) << fmt::format(
        "node=e-1\nzone=a\nip=127.0.0.1\nlisten.front=127.0.0.1:{}\n"
        "listen.readiness=127.0.0.1:{}\nport_range={},{}\n"
        "seeds=127.0.0.1:1\nlimits.memory_mb=110\nlimits.max_fds=900\n"
        "bounds.grace_s=1\nplatform.address=127.0.0.1:1\n",
        port, harness::free_port(), harness::free_port(), harness::free_port());
    return path;
}

/// A daemon that has started, and is then ended by a signal.
std::vector<json> log_of_daemon_ended_by(int signal) {
    const harness::scratch_directory directory;
    const std::string log = directory.path + "/log";
    harness::child_process daemon(
        "mintknotd-platform", {"--settings", write_settings(directory)}, log,
        harness::output_use::log);
    const auto limit = std::chrono::steady_clock::now() + start_limit;
    while (with_event(lines_of(log), "started").empty()) {
        cr_assert(std::chrono::steady_clock::now() < limit, "no start");
        std::this_thread::sleep_for(std::chrono::milliseconds(5));
    }
    daemon.signal(signal);
    cr_assert(daemon.wait() == signal_base + signal);
    return lines_of(log);
}

} // namespace

// An instance that ended by an exception left no line of its own.
Test(process_ends, an_exception_out_of_a_handler_is_told) {
    const ended_process ended = run("exception");
    cr_assert(ended.code == signal_base + SIGABRT);
    const json line = last_line(ended);
    cr_assert(line.at("signal") == "SIGABRT");
    cr_assert(line.at("exception") == "out of range");
    cr_assert(!line.contains("sender"));
    // What the runtime library says of it is still there.
    cr_assert(ended.log.find("std::runtime_error") != std::string::npos);
}

Test(process_ends, a_lack_of_memory_is_told) {
    const ended_process ended = run("memory");
    cr_assert(ended.code == signal_base + SIGABRT);
    cr_assert(last_line(ended).at("exception") == "std::bad_alloc");
}

Test(process_ends, an_exception_of_no_class_of_the_library_is_told) {
    const ended_process ended = run("no-exception-class");
    cr_assert(last_line(ended).at("exception") == "of an unknown type");
}

Test(process_ends, an_assertion_that_fails_is_told) {
    const ended_process ended = run("abort");
    cr_assert(ended.code == signal_base + SIGABRT);
    cr_assert(!last_line(ended).contains("exception"));
}

Test(process_ends, each_fatal_signal_is_told_and_still_ends_the_process) {
    const std::pair<int, std::string> signals[] = {
        {SIGABRT, "SIGABRT"},
        {SIGBUS, "SIGBUS"},
        {SIGFPE, "SIGFPE"},
        {SIGILL, "SIGILL"},
        {SIGSEGV, "SIGSEGV"}};
    for (const auto& [number, name] : signals) {
        const ended_process ended = run(name);
        cr_assert(ended.code == signal_base + number);
        cr_assert(last_line(ended).at("signal") == name);
    }
}

// A handler on the stack that has overflowed could not run.
Test(process_ends, an_overflow_of_the_stack_is_told) {
    const ended_process ended = run("stack");
    cr_assert(ended.code == signal_base + SIGSEGV);
    cr_assert(last_line(ended).at("signal") == "SIGSEGV");
}

Test(process_ends, any_text_of_an_exception_leaves_the_line_readable) {
    const ended_process ended = run("odd-text");
    const auto text = last_line(ended).at("exception").get<std::string>();
    cr_assert(text.starts_with("a?b?c?d?xxx"));
    cr_assert(text.size() == 512);
}

Test(process_ends, a_reader_without_room_does_not_hold_up_the_end) {
    const ended_process ended = run("full-pipe", harness::output_use::port);
    cr_assert(ended.code == signal_base + SIGABRT);
}

Test(process_ends, an_orderly_end_leaves_no_line) {
    const ended_process ended = run("orderly");
    cr_assert(ended.code == 0);
    cr_assert(ended.lines.empty());
}

// A log did not tell which build ran, nor why its process ended.
Test(process_ends, a_daemon_tells_its_build_and_the_signal_that_ended_it) {
    for (const int signal : {SIGABRT, SIGSEGV}) {
        const std::vector<json> lines = log_of_daemon_ended_by(signal);
        const std::vector<json> started = with_event(lines, "started");
        const std::vector<json> ended = with_event(lines, "process_ended");
        cr_assert(started.size() == 1 && ended.size() == 1);
        cr_assert(!started.front().at("version").get<std::string>().empty());
        cr_assert(!started.front().at("commit").get<std::string>().empty());
        cr_assert(ended.front().at("version") == started.front().at("version"));
        cr_assert(ended.front().at("commit") == started.front().at("commit"));
        cr_assert(ended.front().at("instance") == "e-1");
        cr_assert(ended.front().at("sender") == ::getpid());
    }
}
