#include "expected_text.hpp"

#include <fmt/format.h>

#include <fstream>
#include <iterator>
#include <sstream>

namespace mintknot::compatibility {

namespace {

constexpr std::size_t bytes_per_line = 32;

std::string read_file(const std::string& path) {
    std::ifstream file(path, std::ios::binary);
    return {
        std::istreambuf_iterator<char>(file), std::istreambuf_iterator<char>()};
}

void show_difference(const std::string& expected, const std::string& text) {
    std::istringstream left(expected);
    std::istringstream right(text);
    std::string wanted;
    std::string found;
    int number = 0;
    while (true) {
        const bool more = static_cast<bool>(std::getline(left, wanted));
        const bool more_found = static_cast<bool>(std::getline(right, found));
        ++number;
        if ((!more && !more_found) || more != more_found || wanted != found)
            break;
    }
    fmt::print(
        stderr, "line {}: expected \"{}\", found \"{}\"; whole text:\n{}",
        number, wanted, found, text);
}

} // namespace

bool matches_expected(const std::string& file, const std::string& text) {
    const std::string expected =
        read_file(std::string(EXPECTED_DIRECTORY) + "/" + file);
    if (expected == text)
        return true;
    fmt::print(stderr, "expected/{} differs, ", file);
    show_difference(expected, text);
    return false;
}

std::string to_hex(std::string_view bytes) {
    std::string text;
    for (std::size_t at = 0; at < bytes.size(); ++at) {
        if (at > 0 && at % bytes_per_line == 0)
            text += '\n';
        text += fmt::format("{:02x}", static_cast<unsigned char>(bytes[at]));
    }
    return text + "\n";
}

} // namespace mintknot::compatibility
