#include <mintknot/logging/line_log.hpp>

#include "pipe_room.hpp"

#include <nlohmann/json.hpp>

#include <unistd.h>

#include <algorithm>

namespace mintknot::logging {

namespace {

/// A pipe with room takes this much at once, so that the write cannot block.
constexpr std::size_t longest_line = 4000;

/// Longer texts of one field are cut, so that a line stays whole.
constexpr std::size_t longest_text = 512;

std::string_view bounded(std::string_view text) {
    return text.substr(0, longest_text);
}

template<class Number> Number bounded(Number value) {
    return value;
}

} // namespace

struct line_log::impl {
    impl(int out, std::string name, log_bounds limits)
        : descriptor(out)
        , instance(std::move(name))
        , bounds(limits)
        , tokens(limits.burst)
        , refilled(base::steady_clock::now()) {}

    bool take_token() {
        const base::steady_time now = base::steady_clock::now();
        const std::chrono::duration<double> passed = now - refilled;
        refilled = now;
        tokens = std::min(
            bounds.burst, tokens + passed.count() * bounds.lines_per_second);
        if (tokens < 1.0)
            return false;
        tokens -= 1.0;
        return true;
    }

    bool put(std::string line) {
        if (line.size() > longest_line)
            line.resize(longest_line);
        line += '\n';
        return has_room(descriptor) &&
               ::write(descriptor, line.data(), line.size()) ==
                   static_cast<ssize_t>(line.size());
    }

    int descriptor;
    std::string instance;
    log_bounds bounds;
    double tokens;
    base::steady_time refilled;
    std::uint64_t left_out = 0;
    std::uint64_t told = 0; ///< Of those left out.
};

line_log::line_log(int descriptor, std::string instance, log_bounds bounds)
    : impl_(std::make_unique<impl>(descriptor, std::move(instance), bounds)) {}

line_log::~line_log() = default;

void line_log::write(
    std::string_view event, std::initializer_list<log_field> fields) {
    write_fields(event, std::vector<log_field>(fields));
}

void line_log::write_fields(
    std::string_view event, const std::vector<log_field>& fields) {
    if (!impl_->take_token()) {
        ++impl_->left_out;
        return;
    }
    nlohmann::ordered_json line;
    line["at"] = base::wall_now().time_since_epoch().count();
    line["instance"] = impl_->instance;
    line["event"] = event;
    for (const log_field& entry : fields)
        std::visit(
            [&](const auto& value) {
                line[std::string(entry.name)] = bounded(value);
            },
            entry.value);
    if (impl_->left_out > impl_->told)
        line["left_out"] = impl_->left_out;
    if (!impl_->put(line.dump(
            -1, ' ', false, nlohmann::json::error_handler_t::replace))) {
        ++impl_->left_out;
        return;
    }
    impl_->told = impl_->left_out;
}

std::uint64_t line_log::left_out() const noexcept {
    return impl_->left_out;
}

} // namespace mintknot::logging
