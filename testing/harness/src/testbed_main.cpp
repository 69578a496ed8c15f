// testbed: starts a small system without a configuration on loopback, runs a
// command in it, and ends everything that it started. The command finds its way
// by the environment: MINTKNOT_CALLERS, MINTKNOT_SERVER, MINTKNOT_KEY,
// MINTKNOT_CALLER_KEY, MINTKNOT_RESOURCES.
#include <mintknot/harness/test_cluster.hpp>

#include <fmt/format.h>
#include <tclap/CmdLine.h>

#include <signal.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

using namespace mintknot;

namespace {

struct command_line {
    harness::cluster_options options;
    std::vector<std::string> command;
};

command_line parse(int argc, char** argv) {
    TCLAP::CmdLine line("Runs a command in a small system", ' ', "");
    TCLAP::ValueArg<std::size_t> instances(
        "", "instances", "instances of mintknotd", false, 3, "n", line);
    TCLAP::ValueArg<std::size_t> prefill(
        "", "prefill", "prefill engines", false, 2, "n", line);
    TCLAP::ValueArg<std::size_t> decode(
        "", "decode", "decode engines", false, 2, "n", line);
    TCLAP::ValueArg<std::size_t> data_centres(
        "", "data-centres", "data centres", false, 2, "n", line);
    TCLAP::UnlabeledMultiArg<std::string> command(
        "command", "command with its arguments", true, "command", line);
    line.parse(argc, argv);

    command_line result;
    result.options.instances = instances;
    result.options.prefill_engines = prefill;
    result.options.decode_engines = decode;
    result.options.apply = false;
    result.options.data_centres.clear();
    for (std::size_t i = 1; i <= data_centres; ++i)
        result.options.data_centres.push_back(fmt::format("dc{}", i));
    result.command = command.getValue();
    return result;
}

void set(const char* name, const std::string& value) {
    setenv(name, value.c_str(), 1);
}

void describe(harness::test_cluster& cluster) {
    std::vector<std::string> callers;
    for (const auto& instance : cluster.instances())
        callers.push_back(base::to_string(instance.caller));
    set("MINTKNOT_CALLERS", fmt::format("{}", fmt::join(callers, ",")));
    set("MINTKNOT_SERVER",
        base::to_string(cluster.instances().front().operators));
    set("MINTKNOT_KEY", harness::operator_key);
    set("MINTKNOT_CALLER_KEY", harness::norrvik_key);
    set("MINTKNOT_RESOURCES", cluster.write_resources());
}

/// Runs the command to its end. A signal ends it, and then this program.
int run(const std::vector<std::string>& command, const sigset_t& signals) {
    const pid_t child = fork();
    if (child == 0) {
        sigprocmask(SIG_UNBLOCK, &signals, nullptr);
        prctl(PR_SET_PDEATHSIG, SIGTERM);
        std::vector<char*> arguments;
        for (const std::string& word : command)
            arguments.push_back(const_cast<char*>(word.c_str()));
        arguments.push_back(nullptr);
        execvp(arguments[0], arguments.data());
        _exit(127);
    }
    int status = 0;
    while (waitpid(child, &status, WNOHANG) == 0) {
        const timespec period{0, 50'000'000};
        const int received = sigtimedwait(&signals, nullptr, &period);
        if (received == SIGINT || received == SIGTERM)
            kill(child, SIGTERM);
    }
    return WIFEXITED(status) ? WEXITSTATUS(status) : 128 + WTERMSIG(status);
}

} // namespace

int main(int argc, char** argv) {
    sigset_t signals;
    sigemptyset(&signals);
    for (const int number : {SIGINT, SIGTERM, SIGCHLD})
        sigaddset(&signals, number);
    sigprocmask(SIG_BLOCK, &signals, nullptr);
    const command_line line = parse(argc, argv);
    try {
        harness::test_cluster cluster(line.options);
        describe(cluster);
        return run(line.command, signals);
    } catch (const std::exception& error) {
        fmt::print(stderr, "testbed: {}\n", error.what());
        return 1;
    }
}
