#include <mintknot/cli/table.hpp>

#include <fmt/format.h>

#include <algorithm>
#include <cassert>

namespace mintknot::cli {

namespace {

constexpr std::size_t gap = 2;

std::string line_of(
    const std::vector<std::string>& cells,
    const std::vector<std::size_t>& widths) {
    std::string line;
    for (std::size_t i = 0; i < cells.size(); ++i) {
        const bool last = i + 1 == cells.size();
        line +=
            last ? cells[i] : fmt::format("{:<{}}", cells[i], widths[i] + gap);
    }
    return line + "\n";
}

} // namespace

std::string to_string(const table& value) {
    std::vector<std::size_t> widths;
    for (const std::string& heading : value.headings)
        widths.push_back(heading.size());
    for (const auto& row : value.rows) {
        assert(row.size() == widths.size());
        for (std::size_t i = 0; i < row.size(); ++i)
            widths[i] = std::max(widths[i], row[i].size());
    }
    std::string text = line_of(value.headings, widths);
    for (const auto& row : value.rows)
        text += line_of(row, widths);
    return text;
}

} // namespace mintknot::cli
