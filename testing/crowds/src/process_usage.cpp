#include "process_usage.hpp"

#include <arpa/inet.h>
#include <fmt/format.h>

#include <algorithm>
#include <cstdio>
#include <filesystem>
#include <fstream>
#include <string>
#include <system_error>

namespace mintknot::crowds {

namespace {

constexpr std::size_t kibibyte = 1024;

/// @return the bytes that a line such as "VmRSS:  1234 kB" names, or 0.
std::size_t bytes_of(const std::string& line, const std::string& name) {
    unsigned long long kibibytes = 0;
    const std::string format = name + ": %llu kB";
    return std::sscanf(line.c_str(), format.c_str(), &kibibytes) == 1
               ? kibibytes * kibibyte
               : 0;
}

void read_memory(pid_t process, process_usage& usage) {
    std::ifstream in(fmt::format("/proc/{}/status", process));
    for (std::string line; std::getline(in, line);) {
        usage.resident_bytes += bytes_of(line, "VmRSS");
        usage.max_resident_bytes += bytes_of(line, "VmHWM");
    }
}

std::size_t count_descriptors(pid_t process) {
    std::error_code failed;
    std::filesystem::directory_iterator at(
        fmt::format("/proc/{}/fd", process), failed);
    std::size_t count = 0;
    while (!failed && at != std::filesystem::directory_iterator()) {
        ++count;
        at.increment(failed);
    }
    return count;
}

/// An address as the system's table of connections names it: the four bytes
/// of the host as one number, and the port.
struct table_address {
    unsigned host = 0;
    unsigned port = 0;
    friend bool
    operator==(const table_address&, const table_address&) = default;
};

table_address in_table(const base::address& where) {
    in_addr host{};
    ::inet_pton(AF_INET, where.host.c_str(), &host);
    return {host.s_addr, where.port};
}

std::size_t unread_at(const std::vector<base::address>& listens) {
    // A listener's queue counts connections, not bytes.
    constexpr unsigned listening = 0x0A;
    std::vector<table_address> wanted;
    for (const base::address& where : listens)
        wanted.push_back(in_table(where));
    std::ifstream in("/proc/net/tcp");
    std::size_t unread = 0;
    for (std::string line; std::getline(in, line);) {
        table_address local;
        unsigned state = 0;
        unsigned received = 0;
        const int found = std::sscanf(
            line.c_str(), " %*u: %x:%x %*x:%*x %x %*x:%x", &local.host,
            &local.port, &state, &received);
        if (found == 4 && state != listening &&
            std::find(wanted.begin(), wanted.end(), local) != wanted.end())
            unread += received;
    }
    return unread;
}

} // namespace

process_usage
read_usage(pid_t process, const std::vector<base::address>& listens) {
    process_usage usage;
    read_memory(process, usage);
    usage.unread_bytes = unread_at(listens);
    usage.descriptors = count_descriptors(process);
    return usage;
}

} // namespace mintknot::crowds
