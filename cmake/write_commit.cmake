# Writes a header that names the commit of the source folder SOURCE to OUTPUT.
# The file is touched only if the commit has changed.
cmake_minimum_required(VERSION 3.25)

# Folders and files that the programs are built from.
set(built_from libs platform tools cmake CMakeLists.txt)

function(run_git result output)
  execute_process(
    COMMAND ${GIT_EXECUTABLE} -c safe.directory=${SOURCE} -C ${SOURCE} ${ARGN}
    RESULT_VARIABLE code OUTPUT_VARIABLE text ERROR_QUIET
    OUTPUT_STRIP_TRAILING_WHITESPACE)
  set(${result} ${code} PARENT_SCOPE)
  set(${output} "${text}" PARENT_SCOPE)
endfunction()

set(commit unknown)
find_package(Git QUIET)
# A repository further up is not that of these sources.
if(Git_FOUND AND EXISTS ${SOURCE}/.git)
  run_git(failed head rev-parse --short=12 HEAD)
  if(NOT failed)
    set(commit ${head})
    run_git(modified ignored diff --quiet HEAD -- ${built_from})
    if(modified)
      string(APPEND commit -modified)
    endif()
  endif()
endif()

file(CONFIGURE OUTPUT ${OUTPUT} CONTENT [[
#ifndef MINTKNOT_BUILD_COMMIT_HPP
#define MINTKNOT_BUILD_COMMIT_HPP

namespace mintknot::build {

constexpr const char* commit = "@commit@";

} // namespace mintknot::build

#endif
]] @ONLY)
