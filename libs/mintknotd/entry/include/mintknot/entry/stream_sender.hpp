/// @file
/// Sends an answer to its caller, as a stream or in one piece.
#ifndef MINTKNOT_ENTRY_STREAM_SENDER_HPP
#define MINTKNOT_ENTRY_STREAM_SENDER_HPP

#include <mintknot/entry/connection_watch.hpp>
#include <mintknot/entry/live_request.hpp>

#include <functional>
#include <memory>
#include <string>

namespace httplib {
struct Request;
struct Response;
} // namespace httplib

namespace mintknot::entry {

/// Counts as a reader of the request as long as it lives.
class reader_guard {
public:
    explicit reader_guard(std::shared_ptr<live_request> request);
    ~reader_guard();
    reader_guard(const reader_guard&) = delete;
    reader_guard& operator=(const reader_guard&) = delete;

    live_request& request() const noexcept { return *request_; }

private:
    std::shared_ptr<live_request> request_;
};

/// Writes a refusal with its status and headers.
void send_refusal(
    httplib::Response& response, const std::string& id,
    const base::refusal& why);

/// Answers from an offset on: waits for the first token, so that a refusal
/// gets its own status, then streams events or sends the whole answer.
void send_answer(
    const httplib::Request& request, httplib::Response& response,
    const std::shared_ptr<live_request>& source, std::uint64_t offset,
    bool stream);

} // namespace mintknot::entry

#endif
