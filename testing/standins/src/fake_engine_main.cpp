// fake-engine: a stand-in model engine for tests and the demo.
#include <mintknot/base/status_text.hpp>
#include <mintknot/standins/fake_engine.hpp>
#include <mintknot/standins/serve_until_signal.hpp>

#include <fmt/format.h>
#include <tclap/CmdLine.h>

using namespace mintknot;

namespace {

struct command_line {
    std::string host;
    std::uint16_t port = 0;
    standins::engine_options options;
};

command_line parse(int argc, char** argv) {
    TCLAP::CmdLine line("Stand-in model engine", ' ', "0.1.0");
    standins::engine_options defaults;
    TCLAP::ValueArg<std::string> host(
        "", "host", "IP number to listen on", false, "127.0.0.1", "ip", line);
    TCLAP::ValueArg<unsigned> port(
        "", "port", "port, 0 for any", false, 0, "port", line);
    TCLAP::ValueArg<double> prefill(
        "", "prefill-rate", "prefill rate in tokens per second", false,
        defaults.prefill_tokens_per_second, "number", line);
    TCLAP::ValueArg<double> step(
        "", "step-ms", "decode step of an empty batch", false, defaults.step_ms,
        "ms", line);
    TCLAP::ValueArg<double> per_sequence(
        "", "step-ms-per-sequence", "added by each sequence", false,
        defaults.step_ms_per_sequence, "ms", line);
    TCLAP::ValueArg<std::uint64_t> capacity(
        "", "kv-capacity", "KV memory in tokens", false, defaults.kv_capacity,
        "tokens", line);
    TCLAP::ValueArg<std::uint64_t> cache(
        "", "prefix-cache", "prefix cache in tokens", false,
        defaults.prefix_cache_tokens, "tokens", line);
    TCLAP::ValueArg<double> link(
        "", "link-rate", "export rate in tokens per second", false,
        defaults.link_tokens_per_second, "number", line);
    TCLAP::ValueArg<std::int64_t> kept(
        "", "result-kept-ms", "how long a prefill result is kept", false,
        defaults.result_kept.count(), "ms", line);
    TCLAP::ValueArg<std::int64_t> lag(
        "", "report-lag-ms", "age of load reports", false,
        defaults.report_lag.count(), "ms", line);
    line.parse(argc, argv);

    command_line result{host, static_cast<std::uint16_t>(port.getValue()), {}};
    result.options.prefill_tokens_per_second = prefill;
    result.options.step_ms = step;
    result.options.step_ms_per_sequence = per_sequence;
    result.options.kv_capacity = capacity;
    result.options.prefix_cache_tokens = cache;
    result.options.link_tokens_per_second = link;
    result.options.result_kept = base::milliseconds{kept.getValue()};
    result.options.report_lag = base::milliseconds{lag.getValue()};
    return result;
}

} // namespace

int main(int argc, char** argv) {
    const sigset_t signals = standins::block_end_signals();
    const command_line line = parse(argc, argv);
    standins::fake_engine engine(line.options);
    const auto port = engine.start({line.host, line.port});
    if (!port.ok()) {
        fmt::print(stderr, "fake-engine: {}\n", base::text_of(port.status()));
        return 1;
    }
    standins::serve_until_signal(signals, *port);
    std::_Exit(0); // Open streams are of no interest to a stand-in.
}
