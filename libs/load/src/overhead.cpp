#include <mintknot/load/overhead.hpp>

#include <mintknot/base/random.hpp>
#include <mintknot/load/percentiles.hpp>

#include <fmt/format.h>

#include <algorithm>
#include <fstream>
#include <mutex>
#include <thread>

namespace mintknot::load {

namespace {

using nlohmann::json;

/// Times of all calls of one way.
struct way_times {
    std::vector<double> first_token;
    std::vector<double> per_token;
    std::uint64_t failed = 0;
};

/// @return resident memory of a process in KiB; 0 if it cannot be read.
std::int64_t resident_kib(pid_t process) {
    std::ifstream status(fmt::format("/proc/{}/status", process));
    std::string word;
    while (status >> word) {
        if (word != "VmRSS:")
            continue;
        std::int64_t kib = 0;
        status >> kib;
        return kib;
    }
    return 0;
}

/// Samples a process's memory until it goes out of scope.
class memory_peak {
public:
    explicit memory_peak(pid_t process)
        : before_(process == 0 ? 0 : resident_kib(process))
        , thread_([this, process](const std::stop_token& stop) {
            constexpr base::milliseconds period{20};
            while (process != 0 && !stop.stop_requested()) {
                peak_ = std::max(peak_, resident_kib(process));
                std::this_thread::sleep_for(period);
            }
        }) {}

    std::int64_t added_kib() {
        thread_.request_stop();
        thread_.join();
        return std::max<std::int64_t>(0, peak_ - before_);
    }

private:
    std::int64_t before_;
    std::int64_t peak_ = 0;
    std::jthread thread_;
};

void run_round(
    call_path& path, const overhead_options& options, way_times& times) {
    std::mutex mutex;
    std::vector<std::thread> calls;
    for (std::size_t i = 0; i < options.streams; ++i) {
        calls.emplace_back([&, i] {
            std::this_thread::sleep_for(options.stagger * i);
            arrival call;
            call.max_tokens = options.output_tokens;
            // A beginning of its own: no prompt finds another's prefix.
            call.prompt = base::random_token();
            call.prompt.resize(options.prompt_tokens * 4, 'x');
            const call_record record = path.send(options.part, call);
            const std::lock_guard lock(mutex);
            times.failed += record.whole ? 0 : 1;
            times.first_token.push_back(record.first_token_ms);
            times.per_token.push_back(record.per_token_ms);
        });
    }
    for (std::thread& call : calls)
        call.join();
}

json to_json(const way_times& times) {
    return {
        {"first_token_p50", percentile(times.first_token, 0.5)},
        {"first_token_p99", percentile(times.first_token, 0.99)},
        {"per_token_p50", percentile(times.per_token, 0.5)},
        {"per_token_p99", percentile(times.per_token, 0.99)},
        {"failed", times.failed}};
}

} // namespace

json measure_overhead(
    call_path& straight, call_path& routed, const overhead_options& options) {
    way_times direct;
    way_times through;
    way_times warm_up;
    run_round(straight, options, warm_up);
    run_round(routed, options, warm_up);
    memory_peak memory(options.instance);
    const std::size_t rounds =
        std::max(options.rounds, options.least_samples / options.streams);
    for (std::size_t round = 0; round < rounds; ++round) {
        run_round(straight, options, direct);
        run_round(routed, options, through);
    }
    const json left = to_json(direct);
    const json right = to_json(through);
    json added = json::object();
    for (const char* name :
         {"first_token_p50", "first_token_p99", "per_token_p50",
          "per_token_p99"})
        added[name] = right[name].get<double>() - left[name].get<double>();
    return {{"streams", options.streams},
            {"samples", rounds * options.streams},
            {"straight_ms", left},
            {"through_mintknot_ms", right},
            {"added_ms", added},
            {"instance_growth_kib", memory.added_kib()}};
}

} // namespace mintknot::load
