/// @file
/// Whether the engine of a stream has the version that its row tells.

#include "generation_exchange.hpp"
#include "life_check.hpp"

namespace mintknot::relay {

bool generation_exchange::is_life_uncertain(
    const traffic::server& engine) const {
    // Without a time of birth no life can be told from another.
    return engine.born != 0 &&
           !policy::are_rows_current(
               context_.state.versions, context_.loop.now());
}

void generation_exchange::check_life(
    const traffic::server& engine, std::function<void(bool same)> then) {
    life_check_ = std::make_unique<life_check>(
        context_.loop, context_.pool, context_.protocol, engine);
    life_check_->start([this, id = engine.id,
                        then = std::move(then)](bool same) {
        // The check, which is running now, must outlive this handler.
        context_.loop.post(
            [check = std::shared_ptr(std::move(life_check_))] {});
        context_.log.write(
            "life_checked",
            {{"request", request_.terms.id}, {"server", id}, {"same", same}});
        then(same);
    });
}

void generation_exchange::start_decode_after_check(
    const traffic::server& engine) {
    check_life(engine, [this, id = engine.id](bool same) {
        if (!same) {
            place_again_without(id);
            return;
        }
        confirmed_engine_ = id;
        start_decode();
    });
}

void generation_exchange::note_origin() {
    const traffic::server* engine =
        traffic::find(context_.state.servers, decode_.server);
    const bool certain = stream_version_ || context_.state.servers.partial ||
                         engine == nullptr || !is_life_uncertain(*engine);
    if (certain) {
        note_stream_begun(decode_.version);
        return;
    }
    // Until its engine has confirmed its life the stream goes on nowhere else.
    stream_version_.emplace();
    check_life(*engine, [this, number = decode_.number](bool same) {
        // The answer is still under way, so it comes from the same process.
        const bool running =
            decode_.number == number && decode_.call != nullptr;
        if (!same || !running)
            return;
        stream_version_.reset();
        note_stream_begun(decode_.version);
    });
}

} // namespace mintknot::relay
