/// @file
/// What became of one call.
#ifndef MINTKNOT_LOAD_CALL_RECORD_HPP
#define MINTKNOT_LOAD_CALL_RECORD_HPP

#include <cstdint>
#include <string>

namespace mintknot::load {

struct call_record {
    std::size_t part = 0;
    double first_token_ms = 0.0; ///< 0: there was none.
    double per_token_ms = 0.0;   ///< Mean after the first; 0: none.
    std::uint64_t tokens = 0;
    bool whole = false; ///< The answer came to its end.
    bool left = false;  ///< The caller left by its own wish.
    std::string code;   ///< Reason of a refusal or a broken stream.
    std::string verdict;
    std::string request_id;
};

} // namespace mintknot::load

#endif
