/// @file
/// What a stand-in answers to the requests that it runs.

#include "engine_stand_in.hpp"
#include "faulty_answers.hpp"

#include <mintknot/http1/serialize.hpp>

#include <absl/strings/numbers.h>
#include <fmt/format.h>

namespace mintknot::soak {

namespace {

constexpr base::milliseconds work_time{15};
constexpr base::milliseconds handle_life{500};
/// An engine ends so long after its first event, if the prompt has a part that
/// crashes engines; the time differs by request.
constexpr base::milliseconds min_part_crash_time{30};
constexpr std::size_t part_crash_spread_ms = 80;
/// With what such a part begins.
constexpr std::string_view crashing_part = "bad";
constexpr int events_of_a_stream = 20;
/// One stream in so many pauses.
constexpr std::size_t streams_for_a_pause = 3;
/// Between two pieces of an answer without end, and of all of them together.
constexpr base::milliseconds endless_pause{10};
constexpr std::size_t max_endless_bytes = 256 * 1024 * 1024;
constexpr int status_ok = 200;
constexpr int status_misdirected = 421;

/// @param version named as the event's type, if it is not empty.
std::string
event_of(const std::string& id, int number, const std::string& version) {
    const std::string type =
        version.empty() ? std::string() : fmt::format("event: {}\n", version);
    return fmt::format("id: {}\n{}data: {} {}\n\n", number, type, id, number);
}

} // namespace

void engine_stand_in::run_plain(
    const std::string& id, const event::connection_ptr& link) {
    note("run", id);
    after(work_time, [this, id, link] {
        if (answer_badly(id, false, link))
            return;
        if (!ends_with_connection(id)) {
            reply(link, 200, sealed(id), "answer to " + id);
            return;
        }
        write_head(id, http1::framing::close, {}, link);
        link->write("answer to " + id);
        link->close();
    });
}

void engine_stand_in::run_prefill(
    const std::string& id, const event::connection_ptr& link) {
    if (options_.phase != "prefill") {
        reject(link, id, status_misdirected);
        return;
    }
    after(work_time, [this, id, link] {
        const std::string handle = options_.id + "-" + id;
        handles_.insert(handle);
        after(handle_life, [this, handle] { handles_.erase(handle); });
        reply(
            link, 200, {{"X-Mintknot-Request-Id", id}},
            R"({"kv_handle":")" + handle + R"(","tokens":1})");
    });
}

void engine_stand_in::run_decode(
    const received_request& request, const std::string& id,
    const event::connection_ptr& link) {
    note("run", id);
    const std::string result = request.field("X-Mintknot-Kv-Source");
    if (!result.empty() && !result.ends_with("-" + id))
        note("mixed", id);
    int from = 0;
    if (!absl::SimpleAtoi(request.field("Last-Event-Id"), &from))
        from = 0;
    if (answer_badly(id, true, link))
        return;
    write_head(
        id,
        ends_with_connection(id) ? http1::framing::close
                                 : http1::framing::chunked,
        {{"Content-Type", "text/event-stream"}}, link);
    write_event(id, from + 1, link);
    if (has_crashing_part(request))
        after(
            min_part_crash_time +
                base::milliseconds(
                    std::hash<std::string>{}(id) % part_crash_spread_ms),
            [this, id] { crash(id); });
}

bool engine_stand_in::answer_badly(
    const std::string& id, bool stream, const event::connection_ptr& link) {
    const std::optional<answer_fault> fault =
        options_.faulty ? fault_of(id) : std::nullopt;
    if (!fault)
        return false;
    const faulty_answer answer = faulty_answer_to(id, *fault, stream);
    link->write(answer.text);
    if (answer.ends == answer_end::reset)
        after(work_time, [link] { link->reset(); });
    if (answer.ends == answer_end::never)
        write_without_end(answer.repeated, link);
    return true;
}

void engine_stand_in::write_without_end(
    const std::string& piece, const event::connection_ptr& link) {
    if (endless_bytes_ > max_endless_bytes) {
        link->reset();
        return;
    }
    if (link->queued_bytes() < piece.size()) {
        link->write(piece);
        endless_bytes_ += piece.size();
    }
    after(
        endless_pause, [this, piece, link] { write_without_end(piece, link); });
}

bool engine_stand_in::ends_with_connection(const std::string& id) const {
    return options_.without_length && std::hash<std::string>{}(id) % 2 == 0;
}

void engine_stand_in::write_head(
    const std::string& id, http1::framing body, const http1::field_list& more,
    const event::connection_ptr& link) {
    http1::response_head head;
    head.status = status_ok;
    head.fields = sealed(id);
    add_status_fields(head.fields);
    head.fields.insert(head.fields.end(), more.begin(), more.end());
    head.body = body;
    head.keep_alive = body != http1::framing::close;
    link->write(http1::serialize(head));
}

void engine_stand_in::write_event(
    const std::string& id, int number, const event::connection_ptr& link) {
    const bool in_chunks = !ends_with_connection(id);
    if (number > events_of_a_stream) {
        if (in_chunks)
            link->write(std::string(http1::last_chunk));
        else
            link->close();
        return;
    }
    const std::string event = event_of(id, number, options_.version);
    link->write(in_chunks ? http1::chunk(event) : event);
    const base::milliseconds pause =
        pauses_after(id, number) ? options_.pause : base::milliseconds{0};
    after(options_.event_time + pause, [this, id, number, link] {
        write_event(id, number + 1, link);
    });
}

bool engine_stand_in::pauses_after(const std::string& id, int number) {
    const std::size_t drawn = std::hash<std::string>{}(id);
    const auto event = static_cast<int>(
        drawn / streams_for_a_pause % (events_of_a_stream - 1));
    return drawn % streams_for_a_pause == 0 && event + 1 == number;
}

bool engine_stand_in::has_crashing_part(const received_request& request) {
    const std::string parts = request.field("X-Mintknot-Prompt-Prefix");
    return parts.find("," + std::string(crashing_part)) != std::string::npos;
}

http1::field_list engine_stand_in::sealed(const std::string& id) {
    return {{"X-Mintknot-Request-Id", id}, {"X-Mintknot-Response-Seal", "s"}};
}

} // namespace mintknot::soak
