#include <mintknot/relay/release_queue.hpp>

namespace mintknot::relay {

namespace {

constexpr std::size_t max_in_flight = 64;

} // namespace

release_queue::release_queue(
    upstream::connection_pool& pool, const dialect& protocol)
    : pool_(pool)
    , protocol_(protocol) {}

void release_queue::add(
    const traffic::server& engine, const std::string& handle) {
    if (in_flight_.size() >= max_in_flight)
        return;
    const std::uint64_t number = ++last_number_;
    in_flight_[number] = upstream::call::start(
        pool_, {engine.id, engine.where},
        {protocol_.release_request(handle, engine.id), nullptr}, {},
        {[this](const http1::response_head& head) {
             return answers_own_call(protocol_, head);
         },
         [](http1::response_head&) {}, [](std::string_view) {},
         [this, number] { finish(number); },
         [this, number](upstream::call_failure) { finish(number); }});
}

void release_queue::finish(std::uint64_t number) {
    in_flight_.erase(number);
}

} // namespace mintknot::relay
