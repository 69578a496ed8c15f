/// @file
/// Percentiles of measured times.
#ifndef MINTKNOT_LOAD_PERCENTILES_HPP
#define MINTKNOT_LOAD_PERCENTILES_HPP

#include <vector>

namespace mintknot::load {

/// @param values in any order, by value for they are sorted.
/// @param share 0.5 for the median, 0.99 for the 99th percentile.
/// @return the value at the nearest rank; 0 if there are none.
double percentile(std::vector<double> values, double share);

} // namespace mintknot::load

#endif
