#include "request_writer.hpp"

#include <mintknot/http1/serialize.hpp>

namespace mintknot::upstream {

namespace {

/// A body up to this size is written together with its head, in one call of the
/// system.
constexpr std::size_t max_copied_bytes = 16 * 1024;

} // namespace

void write_request(event::connection& link, const call_request& request) {
    const std::string_view body =
        request.body == nullptr ? std::string_view{} : *request.body;
    if (body.size() <= max_copied_bytes) {
        link.write(http1::serialize(request.head, body));
        return;
    }
    link.write(http1::serialize_head(request.head, body.size()));
    link.write(request.body);
}

} // namespace mintknot::upstream
