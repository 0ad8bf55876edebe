# Helpers that make one static library or one test program out of a folder.

# millstair_library(NAME [DEPENDS target...]): all *.cc below the current folder, except main.cc.
# A folder that holds only headers becomes an interface library.
function(millstair_library name)
  cmake_parse_arguments(ARG "" "" "DEPENDS" ${ARGN})
  file(GLOB sources CONFIGURE_DEPENDS ${CMAKE_CURRENT_SOURCE_DIR}/*.cc)
  list(FILTER sources EXCLUDE REGEX "main\\.cc$")
  if(sources)
    add_library(${name} STATIC ${sources})
    target_link_libraries(${name} PUBLIC millstair_options ${ARG_DEPENDS})
  else()
    add_library(${name} INTERFACE)
    target_link_libraries(${name} INTERFACE millstair_options ${ARG_DEPENDS})
  endif()
endfunction()

# millstair_program(NAME MAIN file DEPENDS target...)
function(millstair_program name)
  cmake_parse_arguments(ARG "" "MAIN" "DEPENDS" ${ARGN})
  add_executable(${name} ${ARG_MAIN})
  target_link_libraries(${name} PRIVATE millstair_options ${ARG_DEPENDS})
endfunction()

# millstair_test(NAME DEPENDS target...): all *.cc of test/NAME into one Catch2 program.
function(millstair_test name)
  cmake_parse_arguments(ARG "" "" "DEPENDS" ${ARGN})
  file(GLOB sources CONFIGURE_DEPENDS ${CMAKE_CURRENT_SOURCE_DIR}/${name}/*.cc)
  if(NOT sources)
    return()
  endif()
  add_executable(${name}_test ${sources})
  target_include_directories(${name}_test PRIVATE ${PROJECT_SOURCE_DIR}/test)
  target_link_libraries(${name}_test PRIVATE millstair_options Catch2::Catch2WithMain rapidcheck
    rapidcheck_catch ${ARG_DEPENDS})
  target_compile_definitions(${name}_test PRIVATE
    MILLSTAIR_SOURCE_DIR="${PROJECT_SOURCE_DIR}")
  add_test(NAME ${name} COMMAND ${name}_test)
  set_tests_properties(${name} PROPERTIES TIMEOUT 300)
endfunction()
