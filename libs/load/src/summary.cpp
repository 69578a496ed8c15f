#include <mintknot/load/load_run.hpp>

#include <mintknot/load/percentiles.hpp>

#include <fmt/format.h>

#include <map>

namespace mintknot::load {

namespace {

using nlohmann::json;

/// Sums of one class.
struct class_sums {
    std::uint64_t sent = 0;
    std::uint64_t whole = 0;
    std::uint64_t good = 0;
    std::uint64_t left = 0;
    std::uint64_t tokens = 0;
    std::vector<double> first_token;
    std::vector<double> per_token;
    std::map<std::string, std::uint64_t> codes;
};

bool is_good(const mix_part& part, const call_record& record) {
    return record.whole &&
           record.first_token_ms <=
               static_cast<double>(part.first_token.count()) &&
           record.per_token_ms <= static_cast<double>(part.per_token.count());
}

void add(class_sums& sums, const mix_part& part, const call_record& record) {
    ++sums.sent;
    sums.tokens += record.tokens;
    sums.whole += record.whole ? 1 : 0;
    sums.left += record.left ? 1 : 0;
    sums.good += is_good(part, record) ? 1 : 0;
    if (record.tokens > 0)
        sums.first_token.push_back(record.first_token_ms);
    if (record.tokens > 1)
        sums.per_token.push_back(record.per_token_ms);
    if (!record.code.empty())
        ++sums.codes[record.code];
}

json to_json(const class_sums& sums) {
    return {
        {"sent", sums.sent},
        {"whole", sums.whole},
        {"good", sums.good},
        {"left", sums.left},
        {"tokens", sums.tokens},
        {"first_token_ms",
         {{"p50", percentile(sums.first_token, 0.5)},
          {"p95", percentile(sums.first_token, 0.95)},
          {"p99", percentile(sums.first_token, 0.99)}}},
        {"per_token_ms",
         {{"p50", percentile(sums.per_token, 0.5)},
          {"p95", percentile(sums.per_token, 0.95)}}},
        {"codes", sums.codes}};
}

} // namespace

json summarise(
    const mix& source, const std::vector<call_record>& records,
    std::chrono::seconds duration) {
    std::vector<class_sums> sums(source.parts.size());
    for (const call_record& record : records)
        add(sums[record.part], source.parts[record.part], record);
    json classes = json::object();
    double weighted = 0.0;
    double possible = 0.0;
    for (std::size_t i = 0; i < sums.size(); ++i) {
        const mix_part& part = source.parts[i];
        // Callers that left on purpose are no loss.
        const auto stayed = static_cast<double>(sums[i].sent - sums[i].left);
        weighted += part.weight * static_cast<double>(sums[i].good);
        possible += part.weight * stayed;
        classes[part.request_class] = to_json(sums[i]);
    }
    const auto seconds = static_cast<double>(duration.count());
    return {
        {"mix", source.name},
        {"seconds", seconds},
        {"sent", records.size()},
        {"weighted_goodput_per_second", weighted / seconds},
        {"weighted_goodput_share", possible > 0 ? weighted / possible : 0.0},
        {"classes", classes}};
}

std::string summary_table(const json& summary) {
    std::string text = fmt::format(
        "{}: {} calls in {} s, weighted goodput {:.2f}/s ({:.1f}% of what was "
        "offered)\n{:<14}{:>7}{:>7}{:>7}{:>7}{:>12}{:>12}{:>12}  {}\n",
        summary["mix"].get<std::string>(), summary["sent"].get<int>(),
        summary["seconds"].get<double>(),
        summary["weighted_goodput_per_second"].get<double>(),
        100.0 * summary["weighted_goodput_share"].get<double>(), "class",
        "sent", "whole", "good", "left", "first p50", "first p95", "token p50",
        "refused");
    for (const auto& [name, item] : summary["classes"].items())
        text += fmt::format(
            "{:<14}{:>7}{:>7}{:>7}{:>7}{:>9.1f} ms{:>9.1f} ms{:>9.2f} ms  {}\n",
            name, item["sent"].get<int>(), item["whole"].get<int>(),
            item["good"].get<int>(), item["left"].get<int>(),
            item["first_token_ms"]["p50"].get<double>(),
            item["first_token_ms"]["p95"].get<double>(),
            item["per_token_ms"]["p50"].get<double>(), item["codes"].dump());
    return text;
}

} // namespace mintknot::load
