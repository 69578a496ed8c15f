#include <mintknot/losses/caller_report.hpp>

#include "caller_rows.hpp"

#include <fmt/format.h>

#include <array>
#include <string_view>

namespace mintknot::losses {

namespace {

// Sizes in pixels.
constexpr double label_width = 320.0;
constexpr double bar_width = 640.0;
constexpr double bar_height = 14.0;
constexpr double row_height = 18.0;
constexpr double margin = 20.0;
constexpr double legend_step = 150.0;
constexpr double count_width = 100.0;
constexpr double text_drop = 11.0; ///< From the top of a row to its text.

struct part {
    std::string_view name;
    std::string_view colour;
    std::int64_t caller_counts::*count;
};

constexpr std::array<part, 5> parts{{
    {"in target", "#2ca02c", &caller_counts::in_target},
    {"late", "#ff7f0e", &caller_counts::late},
    {"refused once", "#aec7e8", &caller_counts::refused_once},
    {"refused twice", "#1f77b4", &caller_counts::refused_twice},
    {"failed", "#d62728", &caller_counts::failed},
}};

/// Names of organisations may contain characters that SVG reserves.
std::string escaped(std::string_view name) {
    std::string text;
    for (const char each : name) {
        if (each == '&')
            text += "&amp;";
        else if (each == '<')
            text += "&lt;";
        else if (each == '>')
            text += "&gt;";
        else
            text += each;
    }
    return text;
}

std::string text_at(double left, double top, std::string_view text) {
    return fmt::format(
        R"(<text x="{:.1f}" y="{:.1f}" font-size="12" )"
        R"(font-family="sans-serif">{}</text>)"
        "\n",
        left, top + text_drop, escaped(text));
}

std::string box(double left, double top, double width, std::string_view fill) {
    return fmt::format(
        R"(<rect x="{:.1f}" y="{:.1f}" width="{:.1f}" height="{:.1f}" )"
        R"(fill="{}"/>)"
        "\n",
        left, top, width, bar_height, fill);
}

std::string bar(const caller_row& row, double top) {
    std::string svg = text_at(
        margin, top,
        row.heading.empty() ? row.name : row.heading + " " + row.name);
    double left = margin + label_width;
    for (const part& each : parts) {
        const std::int64_t count = row.counts.*each.count;
        if (count == 0)
            continue;
        const double width = bar_width * static_cast<double>(count) /
                             static_cast<double>(row.counts.callers);
        svg += box(left, top, width, each.colour);
        left += width;
    }
    return svg + text_at(
                     margin + label_width + bar_width + margin, top,
                     fmt::format("{}", row.counts.callers));
}

std::string legend(double top) {
    std::string svg;
    double left = margin + label_width;
    for (const part& each : parts) {
        svg += box(left, top, bar_height, each.colour);
        svg += text_at(left + row_height, top, each.name);
        left += legend_step;
    }
    return svg;
}

} // namespace

std::string to_caller_plot(const loss_ledger& ledger) {
    const auto rows = caller_rows(ledger);
    double top = margin;
    std::string body = legend(top);
    for (const caller_row& row : rows) {
        top += row_height;
        body += bar(row, top);
    }
    return fmt::format(
               R"(<svg xmlns="http://www.w3.org/2000/svg" width="{:.0f}" )"
               R"(height="{:.0f}">)"
               "\n",
               label_width + bar_width + count_width + 2.0 * margin,
               top + row_height + margin) +
           body + "</svg>\n";
}

} // namespace mintknot::losses
