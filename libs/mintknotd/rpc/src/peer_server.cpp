#include <mintknot/rpc/peer_server.hpp>

#include "codec.hpp"
#include "peer.grpc.pb.h"

#include <mintknot/base/json_parser.hpp>

#include <fmt/format.h>
#include <grpcpp/grpcpp.h>

namespace mintknot::rpc {

namespace {

/// `place` may wait for room, so it must not hold a thread; the rest may.
class peer_service final
    : public wire::peer::WithCallbackMethod_place<wire::peer::Service> {
public:
    explicit peer_service(peer_handler& handler)
        : handler_(handler) {}

    grpc::ServerUnaryReactor* place(
        grpc::CallbackServerContext* context, const wire::place_query* query,
        wire::place_answer* answer) override {
        auto* reactor = context->DefaultReactor();
        handler_.place(
            query_from(*query),
            [reactor, answer](const placed_request& placed) {
                fill(*answer, placed);
                reactor->Finish(grpc::Status::OK);
            });
        return reactor;
    }

    grpc::Status report(
        grpc::ServerContext*, const wire::progress_batch* message,
        wire::progress_reply*) override {
        constexpr auto last =
            static_cast<std::uint32_t>(routing::progress_phase::decode_failed);
        progress_batch batch;
        batch.service = message->service();
        for (const wire::progress& line : message->lines()) {
            if (line.phase() > last)
                continue;
            batch.lines.push_back(
                {line.attempt(),
                 static_cast<routing::progress_phase>(line.phase()),
                 line.cached_tokens()});
        }
        handler_.report(std::move(batch));
        return grpc::Status::OK;
    }

    grpc::Status attach(
        grpc::ServerContext* context, const wire::attach_request* message,
        grpc::ServerWriter<wire::attach_event>* writer) override {
        handler_.attach(
            {message->request(), message->organisation(), message->offset()},
            [&](const attach_event& event) {
                wire::attach_event sent;
                sent.set_offset(event.offset);
                sent.set_text(event.text);
                sent.set_finish(event.finish);
                if (event.failed)
                    fill(*sent.mutable_failed(), *event.failed);
                return !context->IsCancelled() && writer->Write(sent);
            });
        return grpc::Status::OK;
    }

    grpc::Status explain(
        grpc::ServerContext*, const wire::explain_request* message,
        wire::explain_reply* reply) override {
        reply->set_records(handler_.explain(message->request()));
        return grpc::Status::OK;
    }

    grpc::Status changes(
        grpc::ServerContext*, const wire::changes_request* message,
        wire::changes_reply* reply) override {
        const config_page page = handler_.changes_since(message->since());
        reply->set_ready(page.ready);
        reply->set_revision(page.revision);
        reply->set_whole(page.whole);
        for (const config::change& item : page.changes)
            reply->add_changes(base::to_text(config::to_json(item)));
        for (const config::resource& item : page.resources)
            reply->add_resources(base::to_text(config::to_json(item)));
        return grpc::Status::OK;
    }

    grpc::Status check_streams(
        grpc::ServerContext*, const wire::streams_request* message,
        wire::streams_reply* reply) override {
        const std::vector<std::string> attempts(
            message->attempts().begin(), message->attempts().end());
        for (const std::string& attempt : handler_.unknown_streams(attempts))
            reply->add_unknown(attempt);
        return grpc::Status::OK;
    }

    grpc::Status find_stream(
        grpc::ServerContext*, const wire::find_stream_request* message,
        wire::find_stream_reply* reply) override {
        const auto found = handler_.find_stream(message->request());
        reply->set_found(found.has_value());
        if (!found)
            return grpc::Status::OK;
        reply->set_attempt(found->attempt);
        reply->set_engine(found->engine);
        reply->set_where(base::to_string(found->where));
        reply->set_organisation(found->organisation);
        return grpc::Status::OK;
    }

private:
    peer_handler& handler_;
};

} // namespace

struct peer_server::impl {
    explicit impl(peer_handler& handler)
        : service(handler) {}

    peer_service service;
    std::unique_ptr<grpc::Server> server;
    int port = 0;
};

peer_server::peer_server(peer_handler& handler)
    : impl_(std::make_unique<impl>(handler)) {}

peer_server::~peer_server() {
    stop(base::milliseconds{0});
}

absl::Status peer_server::start(const base::address& where) {
    grpc::ServerBuilder builder;
    // Two processes must never share a port by accident.
    builder.AddChannelArgument(GRPC_ARG_ALLOW_REUSEPORT, 0);
    builder.AddListeningPort(
        base::to_string(where), grpc::InsecureServerCredentials(),
        &impl_->port);
    builder.RegisterService(&impl_->service);
    impl_->server = builder.BuildAndStart();
    if (!impl_->server || impl_->port == 0)
        return absl::UnavailableError(fmt::format(
            "cannot listen for peers on {}", base::to_string(where)));
    return absl::OkStatus();
}

int peer_server::port() const {
    return impl_->port;
}

void peer_server::stop(base::milliseconds grace) {
    if (!impl_->server)
        return;
    impl_->server->Shutdown(std::chrono::system_clock::now() + grace);
    impl_->server.reset();
}

} // namespace mintknot::rpc
