#include <mintknot/entry/stream_sender.hpp>

#include <mintknot/base/prompt_blocks.hpp>
#include <mintknot/entry/answer_format.hpp>

#include <fmt/format.h>
#include <httplib.h>

namespace mintknot::entry {

namespace {

constexpr base::milliseconds look_period{100};
constexpr base::milliseconds default_retry{1000};
const std::string event_stream = "text/event-stream";
const std::string json_type = "application/json";

answer_head head_of(const live_request& request) {
    return {request.id(), request.call().model};
}

/// @return false if the caller has gone.
bool wait_for_piece(
    live_request& request, std::uint64_t offset, connection_watch& watch,
    answer_piece& piece) {
    while (true) {
        piece = request.wait_from(offset, look_period);
        if (!piece.tokens.empty() || piece.ended)
            return true;
        if (watch.gone())
            return false;
    }
}

/// @return false if the caller has gone.
bool wait_for_end(live_request& request, connection_watch& watch) {
    while (!request.ended()) {
        request.wait_from(request.tokens(), look_period);
        if (watch.gone())
            return false;
    }
    return true;
}

bool write(httplib::DataSink& sink, const std::string& text) {
    return sink.write(text.data(), text.size());
}

/// Sends events until the answer ends or the caller goes.
void send_events(
    live_request& request, std::uint64_t offset, httplib::DataSink& sink) {
    const answer_head head = head_of(request);
    while (true) {
        const answer_piece piece = request.wait_from(offset, look_period);
        std::string events;
        for (const std::string& token : piece.tokens)
            events += token_event(head, offset++, token);
        if (piece.ended)
            events += piece.failed ? error_event(head, *piece.failed)
                                   : end_events(head, piece.finish);
        if (events.empty()) {
            if (!sink.is_writable())
                return;
            continue;
        }
        if (!write(sink, events) || piece.ended)
            return;
    }
}

void start_stream(
    httplib::Response& response, const std::shared_ptr<reader_guard>& reader,
    std::uint64_t offset) {
    response.set_header("Cache-Control", "no-cache");
    response.set_chunked_content_provider(
        event_stream, [reader, offset](std::size_t, httplib::DataSink& sink) {
            send_events(reader->request(), offset, sink);
            sink.done();
            return true;
        });
}

} // namespace

reader_guard::reader_guard(std::shared_ptr<live_request> request)
    : request_(std::move(request)) {
    request_->add_reader();
}

reader_guard::~reader_guard() {
    request_->remove_reader();
}

void send_refusal(
    httplib::Response& response, const std::string& id,
    const base::refusal& why) {
    base::refusal shown = why;
    // Whoever may try again is told when, even if nobody has reckoned it.
    if (shown.retry_after.count() == 0 && base::is_transient(why.code))
        shown.retry_after = default_retry;
    response.status = base::http_status(shown.code);
    if (!id.empty())
        response.set_header("X-Request-Id", id);
    response.set_header(
        "X-Run-Verdict", std::string(base::to_string(shown.run)));
    if (shown.retry_after.count() > 0) {
        // Whole seconds, rounded up: the header knows nothing finer.
        const auto seconds =
            std::chrono::ceil<std::chrono::seconds>(shown.retry_after);
        response.set_header("Retry-After", std::to_string(seconds.count()));
    }
    response.set_content(refusal_body(id, shown), json_type);
}

void send_answer(
    const httplib::Request& request, httplib::Response& response,
    const std::shared_ptr<live_request>& source, std::uint64_t offset,
    bool stream) {
    const auto reader = std::make_shared<reader_guard>(source);
    connection_watch watch(
        {request.remote_addr, static_cast<std::uint16_t>(request.remote_port)});
    answer_piece piece;
    if (!wait_for_piece(*source, offset, watch, piece))
        return;
    response.set_header("X-Request-Id", source->id());
    if (piece.tokens.empty() && piece.failed)
        return send_refusal(response, source->id(), *piece.failed);
    if (stream)
        return start_stream(response, reader, offset);

    if (!wait_for_end(*source, watch))
        return;
    piece = source->wait_from(0, base::milliseconds{0});
    if (piece.failed)
        return send_refusal(response, source->id(), *piece.failed);
    response.set_header("X-Run-Verdict", "ran");
    response.set_content(
        whole_answer(
            head_of(*source), piece.tokens,
            base::count_tokens(source->call().prompt), piece.finish),
        json_type);
}

} // namespace mintknot::entry
