/// @file
/// Draws documents that differ from a valid one in fields, types, numbers,
/// depth or bytes.
#ifndef MINTKNOT_FUZZ_DOCUMENT_MUTATOR_HPP
#define MINTKNOT_FUZZ_DOCUMENT_MUTATOR_HPP

#include <nlohmann/json.hpp>

#include <cstddef>
#include <cstdint>
#include <random>
#include <string>

namespace mintknot::fuzz {

/// The same seed draws the same documents.
class document_mutator {
public:
    explicit document_mutator(std::uint64_t seed);

    /// @return JSON text, or what is left of it.
    std::string draw_text(const nlohmann::json& valid);
    /// @return MessagePack, or what is left of it.
    std::string draw_message(const nlohmann::json& valid);
    /// @return a header value in place of a number.
    std::string draw_field();

private:
    std::size_t draw(std::size_t bound);
    /// Replaces or removes a random part of the document.
    void change_part(nlohmann::json& document, nlohmann::json replacement);
    void change_bytes(std::string& bytes);

    std::mt19937_64 random_;
};

} // namespace mintknot::fuzz

#endif
