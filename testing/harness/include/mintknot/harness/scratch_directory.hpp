/// @file
/// A directory for the files of a test.
#ifndef MINTKNOT_HARNESS_SCRATCH_DIRECTORY_HPP
#define MINTKNOT_HARNESS_SCRATCH_DIRECTORY_HPP

#include <cstdlib>
#include <filesystem>
#include <string>
#include <system_error>

namespace mintknot::harness {

/// A directory that goes with the object, unless it is to be kept.
struct scratch_directory {
    scratch_directory()
        : path((std::filesystem::temp_directory_path() / "mintknot-XXXXXX")
                   .string()) {
        if (::mkdtemp(path.data()) == nullptr)
            path.clear();
    }
    ~scratch_directory() {
        if (kept)
            return;
        std::error_code ignored;
        std::filesystem::remove_all(path, ignored);
    }
    scratch_directory(const scratch_directory&) = delete;
    scratch_directory& operator=(const scratch_directory&) = delete;
    std::string path;
    bool kept = false;
};

} // namespace mintknot::harness

#endif
