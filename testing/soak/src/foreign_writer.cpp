#include "foreign_writer.hpp"

#include "store_requests.hpp"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include <utility>

namespace mintknot::soak {

namespace {

using nlohmann::json;

constexpr base::milliseconds pause{100};
/// Rows that are there at the same time; each is written again and again.
constexpr std::size_t keys = 5;
constexpr int status_ok = 200;

/// Nothing listens at the address, so a row that stays valid costs a server
/// that refuses connections.
json valid_row(std::size_t number) {
    json row = {
        {"service", number % 2 == 0 ? "app" : "llm"},
        {"address", "127.0.0.1:9"},
        {"zone", "a"},
        {"version", "v1"},
        {"slots", 6},
        {"state", "ready"},
        {"born", 1'700'000'000'000},
        {"cold_left_ms", 0},
        {"seq_no", 1}};
    if (number % 2 != 0)
        row["phase"] = "decode";
    return row;
}

} // namespace

foreign_writer::foreign_writer(
    event::loop& owner, base::address store, std::uint64_t seed)
    : owner_(owner)
    , store_(std::move(store))
    , pool_(owner)
    , timer_(owner)
    , mutator_(seed) {}

void foreign_writer::start() {
    write_next();
}

void foreign_writer::stop() {
    timer_.stop();
    call_.reset();
}

void foreign_writer::write_next() {
    send(
        fmt::format("foreign-{}", written_ % keys),
        mutator_.draw_text(valid_row(written_)));
    ++written_;
    timer_.start(pause, [this] { write_next(); });
}

void foreign_writer::send(const std::string& key, const std::string& text) {
    call_ = upstream::call::start(
        pool_, {"store", store_}, put_request({"servers", key, text}), {},
        {nullptr,
         [this](http1::response_head& head) {
             taken_ += head.status == status_ok ? 1 : 0;
         },
         [](std::string_view) {}, [] {}, [](upstream::call_failure) {}});
}

} // namespace mintknot::soak
