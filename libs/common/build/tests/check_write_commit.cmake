# Checks which commit a build names: with history, without, with changed sources.
cmake_minimum_required(VERSION 3.25)
find_package(Git REQUIRED)

function(git)
  execute_process(
    COMMAND ${GIT_EXECUTABLE} -C ${SCRATCH}/source -c user.name=test
            -c user.email=test@localhost ${ARGN}
    COMMAND_ERROR_IS_FATAL ANY OUTPUT_QUIET)
endfunction()

function(expect_commit pattern)
  execute_process(
    COMMAND ${CMAKE_COMMAND} -DSOURCE=${SCRATCH}/source
            -DOUTPUT=${SCRATCH}/commit.hpp -P ${SCRIPT}
    COMMAND_ERROR_IS_FATAL ANY)
  file(STRINGS ${SCRATCH}/commit.hpp line REGEX "commit = ")
  if(NOT line MATCHES "commit = \"${pattern}\"")
    message(FATAL_ERROR "expected ${pattern}, found ${line}")
  endif()
endfunction()

file(REMOVE_RECURSE ${SCRATCH})
file(WRITE ${SCRATCH}/source/libs/code.cpp "int one;\n")
expect_commit(unknown)

set(hash "[0-9a-f]+")
git(init -q)
git(add libs)
git(commit -q -m first)
expect_commit(${hash})

# What no program is built from leaves the name as it is.
file(WRITE ${SCRATCH}/source/record.txt "run\n")
expect_commit(${hash})

file(WRITE ${SCRATCH}/source/libs/code.cpp "int two;\n")
expect_commit(${hash}-modified)
