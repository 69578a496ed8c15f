#include <mintknot/entry/caller_api.hpp>

#include <mintknot/entry/stream_sender.hpp>

#include <fmt/format.h>
#include <httplib.h>

#include <algorithm>
#include <array>

namespace mintknot::entry {

namespace {

using audit::decision_kind;
using base::reason;
using base::refusal;

constexpr base::milliseconds stopping_retry{1000};
/// Headers of plain calls that concern one connection or mintknot itself.
constexpr std::array own_headers{
    "authorization",
    "connection",
    "content-length",
    "content-type",
    "host",
    "keep-alive",
    "te",
    "transfer-encoding",
    "upgrade",
    "remote_addr",
    "remote_port",
    "local_addr",
    "local_port",
    "expect"};

std::string lower(std::string text) {
    std::transform(
        text.begin(), text.end(), text.begin(),
        [](unsigned char letter) { return std::tolower(letter); });
    return text;
}

caller_headers headers_of(const httplib::Request& in) {
    return {
        in.get_header_value("Authorization"),
        in.get_header_value("X-Request-Class"),
        in.get_header_value("Idempotency-Key"),
        in.get_header_value("X-Deadline-Ms")};
}

std::vector<net::http_header> forwarded_headers(const httplib::Request& in) {
    std::vector<net::http_header> result;
    for (const auto& [name, value] : in.headers) {
        const bool own =
            std::find(own_headers.begin(), own_headers.end(), lower(name)) !=
            own_headers.end();
        if (!own)
            result.push_back({name, value});
    }
    return result;
}

/// @return the path below the service with its query, as it was sent.
std::string path_below(const httplib::Request& in) {
    constexpr std::string_view prefix = "/services/";
    const auto end_of_name = in.target.find_first_of("/?", prefix.size());
    if (end_of_name == std::string::npos)
        return "/";
    const std::string rest = in.target.substr(end_of_name);
    return rest.front() == '/' ? rest : "/" + rest;
}

refusal unknown_request(const std::string& id) {
    return {
        reason::unknown_request,
        fmt::format("there is no request '{}' (any more)", id)};
}

} // namespace

caller_api::caller_api(caller_parts parts)
    : parts_(parts) {}

void caller_api::add_routes(httplib::Server& routes) {
    const std::string stream = "/v1/requests/([^/]+)/stream";
    routes.Post("/v1/completions", [this](const request& in, response& out) {
        complete(in, out);
    });
    routes.Get(
        stream, [this](const request& in, response& out) { resume(in, out); });
    routes.Delete(
        "/v1/requests/([^/]+)",
        [this](const request& in, response& out) { cancel(in, out); });
    const auto call_plain = [this](const request& in, response& out) {
        plain(in, out);
    };
    const std::string service = "/services/([^/]+)(/.*)?";
    routes.Get(service, call_plain);
    routes.Post(service, call_plain);
    routes.Put(service, call_plain);
    routes.Patch(service, call_plain);
    routes.Delete(service, call_plain);
    // Answers that the library itself gives: unknown paths, huge bodies.
    routes.set_error_handler([](const request& in, response& out) {
        if (!out.body.empty())
            return;
        if (out.status == 413)
            return send_refusal(
                out, {}, {reason::body_too_large, "the body is too long"});
        if (out.status == 404)
            return send_refusal(
                out, {},
                {reason::not_found,
                 fmt::format("there is no path '{}'", in.path)});
        const int status = out.status;
        send_refusal(out, {}, {reason::bad_field, "the call is malformed"});
        out.status = status;
    });
}

base::request_id caller_api::next_id() const {
    return base::make_request_id(parts_.control.view()->self);
}

base::outcome<caller_identity> caller_api::admit(const request& in) const {
    if (admission_ == admission::not_ready)
        return refusal{
            reason::not_ready, "the instance has no configuration yet",
            base::verdict::not_run, stopping_retry};
    if (admission_ == admission::stopping)
        return refusal{
            reason::stopping, "the instance stops; ask another one",
            base::verdict::not_run, stopping_retry};
    return identify(*parts_.feed.current(), headers_of(in));
}

void caller_api::refuse(
    response& out, const std::string& id, const refusal& why) {
    audit::decision record;
    record.request = id;
    record.kind = decision_kind::refusal;
    record.code = why.code;
    record.sentence = why.sentence;
    record.config_revision = parts_.feed.current()->revision();
    parts_.decisions.record(std::move(record));
    send_refusal(out, id, why);
}

void caller_api::complete(const request& in, response& out) {
    const base::request_id id = next_id();
    const std::string name = base::to_string(id);
    const auto caller = admit(in);
    if (!caller)
        return refuse(out, name, caller.error());
    auto call = parse_completion(*parts_.feed.current(), *caller, in.body);
    if (!call)
        return refuse(out, name, call.error());
    call->id = id;
    const bool stream = call->stream;
    const auto live =
        parts_.registry.add(*call, caller->organisation->spec.most_open);
    if (!live)
        return refuse(out, name, live.error());

    const bool joined = (*live)->id() != name;
    audit::decision record;
    record.request = (*live)->id();
    record.kind = joined ? decision_kind::resume : decision_kind::received;
    record.sentence = fmt::format(
        "organisation {}, class {}, {} prompt tokens, at most {} tokens{}",
        call->organisation, call->class_name, base::count_tokens(call->prompt),
        call->max_tokens, joined ? "; joined by its idempotency key" : "");
    record.config_revision = parts_.feed.current()->revision();
    parts_.decisions.record(std::move(record));
    if (!joined)
        parts_.workers.submit([this, request = *live] {
            parts_.runner.run(*request);
            parts_.registry.note_ended(*request);
        });
    send_answer(in, out, *live, 0, stream);
}

std::shared_ptr<live_request> caller_api::find_own(
    const request& in, response& out, const caller_identity& caller) {
    const std::string id = in.matches[1];
    auto found = parts_.registry.find(id);
    // Another organisation's request looks like none at all.
    if (found && found->call().organisation != caller.organisation->name)
        found = nullptr;
    if (!found)
        refuse(out, id, unknown_request(id));
    return found;
}

void caller_api::resume(const request& in, response& out) {
    const std::string id = in.matches[1];
    const auto caller = identify(*parts_.feed.current(), headers_of(in));
    if (!caller)
        return refuse(out, id, caller.error());
    const auto offset = parse_offset(in.get_header_value("Last-Event-ID"));
    if (!offset)
        return refuse(out, id, offset.error());
    const auto parsed = base::parse_request_id(id);
    if (!parsed.ok())
        return refuse(out, id, unknown_request(id));
    if (parsed->holder != parts_.control.view()->self)
        return resume_elsewhere(in, out, *caller, *parsed, *offset);
    const auto found = find_own(in, out, *caller);
    if (!found)
        return;
    if (*offset > found->tokens())
        return refuse(
            out, id,
            {reason::bad_offset,
             fmt::format(
                 "Last-Event-ID: found {}, allowed is a whole number from 0 to "
                 "{}, the tokens so far",
                 *offset, found->tokens()),
             found->summary().run});
    send_answer(in, out, found, *offset, true);
}

void caller_api::resume_elsewhere(
    const request& in, response& out, const caller_identity& caller,
    const base::request_id& id, std::uint64_t offset) {
    completion_call call;
    call.id = id;
    call.organisation = caller.organisation->name;
    auto copy = std::make_shared<live_request>(std::move(call), offset);
    parts_.workers.submit(
        [this, copy, id] { parts_.remote.follow(id, *copy); });
    send_answer(in, out, copy, offset, true);
}

void caller_api::attach(
    const rpc::attach_request& wanted, const rpc::attach_sink& sink) {
    const auto found = parts_.registry.find(wanted.request);
    const auto failed = [&](const refusal& why) {
        sink({wanted.offset, {}, {}, why});
    };
    if (!found || found->call().organisation != wanted.organisation)
        return failed(unknown_request(wanted.request));
    if (wanted.offset > found->tokens())
        return failed(
            {reason::bad_offset, "the offset is beyond the answer",
             found->summary().run});
    constexpr base::milliseconds look_period{100};
    const reader_guard reader(found);
    std::uint64_t next = wanted.offset;
    while (true) {
        const answer_piece piece = found->wait_from(next, look_period);
        for (const std::string& token : piece.tokens)
            if (!sink({next++, token, {}, {}}))
                return;
        if (!piece.ended)
            continue;
        if (piece.failed)
            return failed(*piece.failed);
        const bool at_length = piece.finish == engine::finish_reason::length;
        sink({next, {}, at_length ? "length" : "stop", {}});
        return;
    }
}

void caller_api::cancel(const request& in, response& out) {
    const auto caller = identify(*parts_.feed.current(), headers_of(in));
    if (!caller)
        return refuse(out, in.matches[1], caller.error());
    const auto found = find_own(in, out, *caller);
    if (!found)
        return;
    found->cancel(reason::cancelled);
    out.status = 204;
}

void caller_api::plain(const request& in, response& out) {
    const std::string id = base::to_string(next_id());
    const auto caller = admit(in);
    if (!caller)
        return refuse(out, id, caller.error());
    plain_call call;
    call.id = id;
    call.organisation = caller->organisation->name;
    call.class_name = caller->class_name;
    call.retry_percent = caller->request_class.retry_percent;
    call.idempotency_key = caller->idempotency_key;
    call.service = in.matches[1];
    call.method = in.method;
    call.path = path_below(in);
    call.headers = forwarded_headers(in);
    call.content_type = in.get_header_value("Content-Type");
    call.body = in.body;
    call.deadline = base::steady_clock::now() + caller->deadline;
    const auto answer = parts_.plain.call(call);
    if (!answer)
        return refuse(out, id, answer.error());
    out.status = answer->status;
    out.set_header("X-Request-Id", id);
    out.set_header("X-Run-Verdict", "ran");
    if (answer->replayed)
        out.set_header("X-Replayed", "true");
    out.set_content(answer->body, answer->content_type);
}

} // namespace mintknot::entry
