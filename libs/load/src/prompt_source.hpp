/// @file
/// Prompts of wanted lengths, some with shared beginnings.
#ifndef MINTKNOT_LOAD_SRC_PROMPT_SOURCE_HPP
#define MINTKNOT_LOAD_SRC_PROMPT_SOURCE_HPP

#include <mintknot/load/mix.hpp>

#include <random>
#include <string>

namespace mintknot::load {

/// @param number makes the end of the prompt unique.
/// @param tokens wanted length.
std::string make_prompt(
    const mix_part& part, std::size_t part_number, std::uint64_t number,
    std::uint64_t tokens, std::mt19937_64& random);

} // namespace mintknot::load

#endif
