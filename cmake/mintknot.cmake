# Shared rules: every library, program, test and benchmark is declared the same
# way, so that warnings and include paths are set in one place.
set(MINTKNOT_WARNINGS -Wall -Wextra -Wpedantic -Werror -Wnon-virtual-dtor
    -Woverloaded-virtual -Wno-missing-field-initializers)

function(mintknot_library name)
  cmake_parse_arguments(ARG "" "" "SOURCES;DEPS;PRIVATE_DEPS" ${ARGN})
  add_library(mintknot_${name} STATIC ${ARG_SOURCES})
  target_include_directories(mintknot_${name} PUBLIC include PRIVATE src)
  target_link_libraries(mintknot_${name} PUBLIC ${ARG_DEPS}
                        PRIVATE ${ARG_PRIVATE_DEPS})
  target_compile_options(mintknot_${name} PRIVATE ${MINTKNOT_WARNINGS})
endfunction()

function(mintknot_program name)
  cmake_parse_arguments(ARG "" "" "SOURCES;DEPS" ${ARGN})
  add_executable(${name} ${ARG_SOURCES})
  target_link_libraries(${name} PRIVATE ${ARG_DEPS})
  target_compile_options(${name} PRIVATE ${MINTKNOT_WARNINGS})
endfunction()

function(mintknot_test name)
  cmake_parse_arguments(ARG "" "TIMEOUT" "SOURCES;DEPS;ARGS" ${ARGN})
  add_executable(test_${name} ${ARG_SOURCES})
  target_link_libraries(test_${name} PRIVATE ${ARG_DEPS}
                        PkgConfig::CRITERION)
  target_compile_options(test_${name} PRIVATE ${MINTKNOT_WARNINGS})
  add_test(NAME ${name} COMMAND test_${name} ${ARG_ARGS})
  if(NOT ARG_TIMEOUT)
    set(ARG_TIMEOUT 120)
  endif()
  set_tests_properties(${name} PROPERTIES TIMEOUT ${ARG_TIMEOUT})
endfunction()

function(mintknot_benchmark name)
  cmake_parse_arguments(ARG "" "" "SOURCES;DEPS" ${ARGN})
  add_executable(bench_${name} ${ARG_SOURCES})
  target_link_libraries(bench_${name} PRIVATE ${ARG_DEPS}
                        benchmark::benchmark benchmark::benchmark_main)
  target_compile_options(bench_${name} PRIVATE ${MINTKNOT_WARNINGS})
endfunction()
