// fake-platform: a stand-in for the operators' platform.
#include <mintknot/base/status_text.hpp>
#include <mintknot/standins/fake_platform.hpp>
#include <mintknot/standins/serve_until_signal.hpp>

#include <fmt/format.h>
#include <tclap/CmdLine.h>

using namespace mintknot;

int main(int argc, char** argv) {
    const sigset_t signals = standins::block_end_signals();
    TCLAP::CmdLine line("Stand-in platform", ' ', "0.1.0");
    const standins::platform_options defaults;
    TCLAP::ValueArg<std::string> host(
        "", "host", "IP number to listen on", false, "127.0.0.1", "ip", line);
    TCLAP::ValueArg<unsigned> port(
        "", "port", "port, 0 for any", false, 0, "port", line);
    TCLAP::ValueArg<std::uint64_t> writes(
        "", "writes-per-second", "commits allowed in a second", false,
        defaults.writes_per_second, "number", line);
    TCLAP::ValueArg<std::uint64_t> reads(
        "", "reads-per-second", "reads allowed in a second", false,
        defaults.reads_per_second, "number", line);
    line.parse(argc, argv);

    standins::platform_options options;
    options.writes_per_second = writes;
    options.reads_per_second = reads;
    standins::fake_platform platform(options);
    const auto bound =
        platform.start({host, static_cast<std::uint16_t>(port.getValue())});
    if (!bound.ok()) {
        fmt::print(
            stderr, "fake-platform: {}\n", base::text_of(bound.status()));
        return 1;
    }
    standins::serve_until_signal(signals, *bound);
    std::_Exit(0);
}
