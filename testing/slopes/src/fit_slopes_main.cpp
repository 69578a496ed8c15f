// fit-slopes: reads measurements (the JSON of Google Benchmark, or lines of
// the same fields), fits a line over "size" for each figure, and prints slope,
// base and the largest deviation from the line.
#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <cmath>
#include <iostream>
#include <iterator>
#include <map>
#include <vector>

namespace {

using nlohmann::json;

struct point {
    double size = 0.0;
    double value = 0.0;
};

struct line {
    double slope = 0.0;
    double base = 0.0;
    double worst = 0.0; ///< Largest deviation, as a share of the value.
};

/// Fields of a measurement that are no figures.
bool is_figure(const std::string& name, const json& value) {
    static const std::vector<std::string> others{
        "size",      "seconds",      "iterations",
        "real_time", "repetitions",  "repetition_index",
        "threads",   "family_index", "per_family_instance_index"};
    return value.is_number() &&
           std::find(others.begin(), others.end(), name) == others.end();
}

line fit(const std::vector<point>& points) {
    const auto count = static_cast<double>(points.size());
    double mean_x = 0.0;
    double mean_y = 0.0;
    for (const point& item : points) {
        mean_x += item.size / count;
        mean_y += item.value / count;
    }
    double spread = 0.0;
    double together = 0.0;
    for (const point& item : points) {
        spread += (item.size - mean_x) * (item.size - mean_x);
        together += (item.size - mean_x) * (item.value - mean_y);
    }
    line result;
    result.slope = spread > 0.0 ? together / spread : 0.0;
    result.base = mean_y - result.slope * mean_x;
    for (const point& item : points) {
        const double fitted = result.base + result.slope * item.size;
        if (item.value != 0.0)
            result.worst = std::max(
                result.worst, std::abs(item.value - fitted) / item.value);
    }
    return result;
}

std::string name_of(const json& measurement) {
    const auto name = measurement.value("run_name", std::string("?"));
    return name.substr(0, name.find('/'));
}

} // namespace

int main() {
    const std::string text(
        std::istreambuf_iterator<char>(std::cin.rdbuf()), {});
    const json document = json::parse(text, nullptr, false);
    if (!document.is_object() || !document.contains("benchmarks")) {
        fmt::print(stderr, "fit-slopes: no measurements on standard input\n");
        return 1;
    }
    std::map<std::string, std::vector<point>> figures;
    for (const json& measurement : document["benchmarks"]) {
        if (!measurement.contains("size"))
            continue;
        const double size = measurement["size"];
        for (const auto& [name, value] : measurement.items()) {
            if (!is_figure(name, value))
                continue;
            // One iteration may stand for several seconds of a protocol.
            const double seconds =
                name == "cpu_time" ? measurement.value("seconds", 1.0) : 1.0;
            figures[name_of(measurement) + " " + name].push_back(
                {size, value.get<double>() / seconds});
        }
    }
    for (const auto& [name, points] : figures) {
        fmt::print("{}\n ", name);
        for (const point& item : points)
            fmt::print("  {:g}: {:.4g}", item.size, item.value);
        const line fitted = fit(points);
        fmt::print(
            "\n   slope {:.4g}, base {:.4g}, largest deviation {:.0f}%\n",
            fitted.slope, fitted.base, 100.0 * fitted.worst);
    }
    return 0;
}
