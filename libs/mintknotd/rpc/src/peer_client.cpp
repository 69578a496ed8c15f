#include <mintknot/rpc/peer_client.hpp>

#include <mintknot/base/json_parser.hpp>

#include "codec.hpp"
#include "peer.grpc.pb.h"

#include <grpcpp/grpcpp.h>

#include <map>
#include <mutex>

namespace mintknot::rpc {

namespace {

constexpr base::milliseconds short_call{1000};
constexpr base::milliseconds longest_reconnect_wait{500};

absl::Status to_status(const grpc::Status& status) {
    if (status.ok())
        return absl::OkStatus();
    return absl::UnavailableError("peer: " + status.error_message());
}

void set_timeout(grpc::ClientContext& context, base::milliseconds timeout) {
    context.set_deadline(std::chrono::system_clock::now() + timeout);
}

config_page page_from(const wire::changes_reply& reply) {
    config_page page;
    page.ready = reply.ready();
    page.revision = reply.revision();
    page.whole = reply.whole();
    for (const std::string& text : reply.changes()) {
        const auto document = base::parse_json_or_discard(text);
        if (auto change = config::change_from_json(document))
            page.changes.push_back(*std::move(change));
    }
    for (const std::string& text : reply.resources()) {
        const auto document = base::parse_json_or_discard(text);
        if (auto resource = config::resource_from_json(document))
            page.resources.push_back(*std::move(resource));
    }
    return page;
}

} // namespace

struct peer_client::impl {
    std::mutex mutex;
    std::map<base::address, std::shared_ptr<wire::peer::Stub>> stubs;

    std::shared_ptr<wire::peer::Stub> stub(const base::address& where) {
        const std::lock_guard lock(mutex);
        auto& kept = stubs[where];
        if (!kept) {
            grpc::ChannelArguments arguments;
            arguments.SetInt(
                GRPC_ARG_MAX_RECONNECT_BACKOFF_MS,
                static_cast<int>(longest_reconnect_wait.count()));
            arguments.SetMaxReceiveMessageSize(-1);
            kept = wire::peer::NewStub(grpc::CreateCustomChannel(
                base::to_string(where), grpc::InsecureChannelCredentials(),
                arguments));
        }
        return kept;
    }
};

peer_client::peer_client()
    : impl_(std::make_unique<impl>()) {}
peer_client::~peer_client() = default;

absl::StatusOr<placed_request> peer_client::place(
    const base::address& where, const routing::place_query& query,
    base::milliseconds timeout) {
    wire::place_query message;
    fill(message, query);
    wire::place_answer answer;
    grpc::ClientContext context;
    set_timeout(context, timeout);
    const auto status = impl_->stub(where)->place(&context, message, &answer);
    if (!status.ok())
        return to_status(status);
    return answer_from(answer);
}

absl::Status
peer_client::report(const base::address& where, const progress_batch& batch) {
    wire::progress_batch message;
    message.set_service(batch.service);
    for (const routing::progress& line : batch.lines) {
        auto* item = message.add_lines();
        item->set_attempt(line.attempt);
        item->set_phase(static_cast<std::uint32_t>(line.phase));
        item->set_cached_tokens(line.cached_tokens);
    }
    wire::progress_reply reply;
    grpc::ClientContext context;
    set_timeout(context, short_call);
    return to_status(impl_->stub(where)->report(&context, message, &reply));
}

absl::Status peer_client::attach(
    const base::address& where, const attach_request& request,
    const attach_sink& sink) {
    wire::attach_request message;
    message.set_request(request.request);
    message.set_organisation(request.organisation);
    message.set_offset(request.offset);
    grpc::ClientContext context;
    auto reader = impl_->stub(where)->attach(&context, message);
    wire::attach_event received;
    while (reader->Read(&received)) {
        attach_event event;
        event.offset = received.offset();
        event.text = received.text();
        event.finish = received.finish();
        if (received.has_failed())
            event.failed = refusal_from(received.failed());
        if (!sink(event)) {
            context.TryCancel();
            break;
        }
    }
    return to_status(reader->Finish());
}

absl::StatusOr<std::string>
peer_client::explain(const base::address& where, const std::string& request) {
    wire::explain_request message;
    message.set_request(request);
    wire::explain_reply reply;
    grpc::ClientContext context;
    set_timeout(context, short_call);
    const auto status = impl_->stub(where)->explain(&context, message, &reply);
    if (!status.ok())
        return to_status(status);
    return reply.records();
}

absl::StatusOr<config_page>
peer_client::changes_since(const base::address& where, std::uint64_t revision) {
    wire::changes_request message;
    message.set_since(revision);
    wire::changes_reply reply;
    grpc::ClientContext context;
    set_timeout(context, short_call);
    const auto status = impl_->stub(where)->changes(&context, message, &reply);
    if (!status.ok())
        return to_status(status);
    return page_from(reply);
}

absl::StatusOr<std::vector<std::string>> peer_client::check_streams(
    const base::address& where, const std::vector<std::string>& attempts) {
    wire::streams_request message;
    for (const std::string& attempt : attempts)
        message.add_attempts(attempt);
    wire::streams_reply reply;
    grpc::ClientContext context;
    set_timeout(context, short_call);
    const auto status =
        impl_->stub(where)->check_streams(&context, message, &reply);
    if (!status.ok())
        return to_status(status);
    return std::vector<std::string>(
        reply.unknown().begin(), reply.unknown().end());
}

absl::StatusOr<found_stream> peer_client::find_stream(
    const base::address& where, const std::string& request) {
    wire::find_stream_request message;
    message.set_request(request);
    wire::find_stream_reply reply;
    grpc::ClientContext context;
    set_timeout(context, short_call);
    const auto status =
        impl_->stub(where)->find_stream(&context, message, &reply);
    if (!status.ok())
        return to_status(status);
    const auto engine_at = base::parse_address(reply.where());
    if (!reply.found() || !engine_at.ok())
        return absl::NotFoundError("no such stream");
    return found_stream{
        reply.attempt(), reply.engine(), *engine_at, reply.organisation()};
}

} // namespace mintknot::rpc
