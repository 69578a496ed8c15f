/// @file
/// Reads any text as a document, for tests.
#ifndef MINTKNOT_STATE_TESTS_PLAIN_CODEC_HPP
#define MINTKNOT_STATE_TESTS_PLAIN_CODEC_HPP

#include <mintknot/state/replica.hpp>

namespace mintknot::state::tests {

class plain_codec final : public document_codec {
public:
    absl::StatusOr<traffic::configuration>
    read_configuration(std::string_view) const override {
        return traffic::configuration{};
    }
    absl::StatusOr<traffic::server>
    read_server(const std::string& id, std::string_view) const override {
        traffic::server value;
        value.id = id;
        return value;
    }
};

} // namespace mintknot::state::tests

#endif
