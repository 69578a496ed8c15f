#include <mintknot/losses/loss_report.hpp>

#include <fmt/format.h>

#include <algorithm>
#include <array>

namespace mintknot::losses {

namespace {

// Sizes in pixels.
constexpr double plot_width = 900.0;
constexpr double plot_height = 320.0;
constexpr double left_margin = 60.0;
constexpr double top_margin = 20.0;
constexpr double legend_width = 220.0;
constexpr double legend_line = 18.0;
constexpr double widest_bar = 40.0;

/// One for each cause, in the order of the enumeration; none is not drawn.
constexpr std::array<std::string_view, 17> colours{
    "none",    "#d62728", "#ff7f0e", "#8c564b", "#7f7f7f", "#1f77b4",
    "#9467bd", "#e377c2", "#bcbd22", "#17becf", "#8c6bb1", "#88419d",
    "#bc80bd", "#98df8a", "#2ca02c", "#aec7e8", "#000000"};

std::string_view colour_of(loss_cause cause) {
    return colours.at(static_cast<std::size_t>(cause));
}

double lost(const weight_by_cause& weights) {
    double sum = 0.0;
    for (const auto& [cause, weight] : weights)
        if (cause != loss_cause::none)
            sum += weight;
    return sum;
}

/// The causes of one window, one above the other.
std::string
bar(const weight_by_cause& weights, double left, double width, double most) {
    std::string svg;
    double bottom = top_margin + plot_height;
    for (const auto& [cause, weight] : weights) {
        if (cause == loss_cause::none)
            continue;
        const double height = weight / most * plot_height;
        bottom -= height;
        svg += fmt::format(
            R"(<rect x="{:.1f}" y="{:.1f}" width="{:.1f}" height="{:.1f}" )"
            R"(fill="{}"/>)"
            "\n",
            left, bottom, width, height, colour_of(cause));
    }
    return svg;
}

std::string text_at(double left, double top, std::string_view text) {
    return fmt::format(
        R"(<text x="{:.1f}" y="{:.1f}" font-size="12" )"
        R"(font-family="sans-serif">{}</text>)"
        "\n",
        left, top, text);
}

std::string legend(const weight_by_cause& weights) {
    std::string svg;
    const double left = left_margin + plot_width + widest_bar;
    double top = top_margin;
    for (const auto& [cause, weight] : weights) {
        if (cause == loss_cause::none)
            continue;
        svg += fmt::format(
            R"(<rect x="{:.1f}" y="{:.1f}" width="12" height="12" )"
            R"(fill="{}"/>)"
            "\n",
            left, top, colour_of(cause));
        svg += text_at(left + legend_line, top + 11.0, to_string(cause));
        top += legend_line;
    }
    return svg;
}

std::string axis(const loss_ledger& ledger, double most, double windows) {
    const double bottom = top_margin + plot_height;
    const double seconds =
        windows * std::chrono::duration<double>(ledger.options.window).count();
    return fmt::format(
               R"(<path d="M{:.1f} {:.1f} V{:.1f} H{:.1f}" fill="none" )"
               R"(stroke="black"/>)"
               "\n",
               left_margin, top_margin, bottom, left_margin + plot_width) +
           text_at(4.0, top_margin + 10.0, fmt::format("{:.0f}", most)) +
           text_at(left_margin, bottom + 16.0, "0 s") +
           text_at(
               left_margin + plot_width - 30.0, bottom + 16.0,
               fmt::format("{:.0f} s", seconds)) +
           text_at(
               left_margin + plot_width / 2.0 - 60.0, bottom + 32.0,
               "weight lost in each window");
}

} // namespace

std::string to_plot(const loss_ledger& ledger) {
    const auto windows = by_window(ledger);
    double most = 1.0;
    for (const auto& [window, weights] : windows)
        most = std::max(most, lost(weights));
    const std::int64_t first = windows.empty() ? 0 : windows.begin()->first;
    const std::int64_t last = windows.empty() ? 0 : windows.rbegin()->first;
    const auto count = static_cast<double>(last - first + 1);
    const double step = std::min(widest_bar, plot_width / count);
    std::string svg = fmt::format(
        R"(<svg xmlns="http://www.w3.org/2000/svg" width="{:.0f}" )"
        R"(height="{:.0f}">)"
        "\n",
        left_margin + plot_width + widest_bar + legend_width,
        top_margin + plot_height + 2.0 * widest_bar);
    for (const auto& [window, weights] : windows)
        svg += bar(
            weights, left_margin + static_cast<double>(window - first) * step,
            step * 0.9, most);
    svg += axis(ledger, most, plot_width / step);
    svg += legend(by_cause(ledger));
    return svg + "</svg>\n";
}

} // namespace mintknot::losses
