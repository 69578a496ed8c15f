// mintknot-load: open-loop load, and the time that mintknot adds.
#include <mintknot/base/status_text.hpp>
#include <mintknot/load/load_run.hpp>
#include <mintknot/load/overhead.hpp>

#include <absl/strings/str_split.h>
#include <fmt/format.h>
#include <tclap/CmdLine.h>

#include <signal.h>

using namespace mintknot;

namespace {

using text_option = TCLAP::ValueArg<std::string>;

/// @return the addresses, or nothing after a message.
std::optional<std::vector<base::address>>
addresses(const std::string& name, const std::string& list) {
    std::vector<base::address> result;
    for (const auto& part : absl::StrSplit(list, ',', absl::SkipEmpty())) {
        const auto address =
            base::parse_address(std::string_view(part.data(), part.size()));
        if (!address.ok()) {
            fmt::print(
                stderr, "--{}: {}\n", name, base::text_of(address.status()));
            return std::nullopt;
        }
        result.push_back(*address);
    }
    if (result.empty())
        fmt::print(stderr, "--{}: at least one address is needed\n", name);
    return result.empty() ? std::nullopt : std::optional(result);
}

int run_load(int argc, char** argv) {
    TCLAP::CmdLine line("Sends a mix of requests, open-loop", ' ', "");
    text_option instances(
        "i", "instances", "caller addresses", true, "", "list", line);
    text_option file("m", "mix", "mix of requests", true, "", "file", line);
    TCLAP::ValueArg<double> rate(
        "r", "rate", "arrivals per second", false, 10, "number", line);
    TCLAP::ValueArg<int> seconds(
        "t", "seconds", "duration", false, 10, "s", line);
    TCLAP::ValueArg<std::uint64_t> seed(
        "", "seed", "seed of the arrivals", false, 1, "number", line);
    TCLAP::SwitchArg json("j", "json", "print JSON instead of a table", line);
    line.parse(argc, argv);
    const auto where = addresses("instances", instances);
    const auto source = load::load_mix(file);
    if (!source.ok())
        fmt::print(stderr, "{}\n", base::text_of(source.status()));
    if (!where || !source.ok())
        return 2;
    const load::arrival_options options{
        rate, std::chrono::seconds{seconds.getValue()}, seed};
    const auto arrivals = load::make_arrivals(*source, options);
    const auto path = load::through_router(*where, source->model);
    const auto records = load::run_arrivals(*path, *source, arrivals);
    const auto summary = load::summarise(*source, records, options.duration);
    fmt::print(
        "{}", json ? summary.dump(2) + "\n" : load::summary_table(summary));
    return 0;
}

int run_overhead(int argc, char** argv) {
    TCLAP::CmdLine line(
        "Measures the time that mintknot adds to the same engines", ' ', "");
    text_option instances(
        "i", "instances", "caller addresses", true, "", "list", line);
    text_option prefill(
        "p", "prefill", "prefill engines", true, "", "list", line);
    text_option decode("d", "decode", "decode engines", true, "", "list", line);
    text_option model("m", "model", "model", true, "", "name", line);
    text_option key("k", "key", "caller's key", true, "", "key", line);
    text_option request_class(
        "c", "class", "request class", false, "default", "name", line);
    text_option streams(
        "s", "streams", "concurrent streams, each in turn", false, "1,64,256",
        "list", line);
    TCLAP::ValueArg<std::size_t> rounds(
        "", "rounds", "rounds of each", false, 5, "number", line);
    TCLAP::ValueArg<int> process(
        "", "pid", "process of an instance, for its memory", false, 0, "pid",
        line);
    line.parse(argc, argv);
    const auto routers = addresses("instances", instances);
    const auto sources = addresses("prefill", prefill);
    const auto decoders = addresses("decode", decode);
    if (!routers || !sources || !decoders)
        return 2;
    const auto straight = load::straight_to_engines(*sources, *decoders, model);
    const auto routed = load::through_router(*routers, model);
    load::overhead_options options;
    options.part.key = key;
    options.part.request_class = request_class;
    options.rounds = rounds;
    options.instance = process;
    for (const auto& count :
         absl::StrSplit(streams.getValue(), ',', absl::SkipEmpty())) {
        options.streams = std::stoul(std::string(count));
        const auto result = load::measure_overhead(*straight, *routed, options);
        fmt::print("{}\n", result.dump(2));
    }
    return 0;
}

} // namespace

int main(int argc, char** argv) {
    signal(SIGPIPE, SIG_IGN);
    const std::string verb = argc > 1 ? argv[1] : "";
    if (verb == "run")
        return run_load(argc - 1, argv + 1);
    if (verb == "overhead")
        return run_overhead(argc - 1, argv + 1);
    fmt::print(stderr, "Usage: mintknot-load run|overhead [OPTIONS]; --help\n");
    return 2;
}
