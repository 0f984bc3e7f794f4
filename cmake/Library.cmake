# papayaway_library(NAME [SOURCE_DIR folder] DEPENDS targets...
#                   [TEST_DEPENDS targets...] [TEST_PROGRAMS targets...])
#
# Declares the static library in libs/NAME, or in SOURCE_DIR, from src/*.cpp,
# its test program from tests/*.cpp and its benchmark program from
# benchmark/*.cpp. Tests of a library with TEST_PROGRAMS start these programs
# from the folder PAPAYAWAY_PROGRAM_DIR. They depend on timing, so ctest runs no
# other test at the same time.
function(papayaway_library name)
  cmake_parse_arguments(ARG "" "SOURCE_DIR"
    "DEPENDS;TEST_DEPENDS;TEST_PROGRAMS" ${ARGN})
  if(ARG_SOURCE_DIR)
    set(dir ${ARG_SOURCE_DIR})
  else()
    set(dir ${CMAKE_CURRENT_SOURCE_DIR}/${name})
  endif()
  file(GLOB sources CONFIGURE_DEPENDS ${dir}/src/*.cpp)
  if(sources)
    add_library(${name} STATIC ${sources})
    target_include_directories(${name} PUBLIC ${dir}/include PRIVATE ${dir}/src)
    target_link_libraries(${name} PUBLIC ${ARG_DEPENDS})
  else()
    add_library(${name} INTERFACE)
    target_include_directories(${name} INTERFACE ${dir}/include)
    target_link_libraries(${name} INTERFACE ${ARG_DEPENDS})
  endif()

  file(GLOB tests CONFIGURE_DEPENDS ${dir}/tests/*.cpp)
  if(tests AND NOT PAPAYAWAY_DEPLOY)
    add_executable(test_${name} ${tests})
    target_link_libraries(test_${name} PRIVATE ${name} ${ARG_TEST_DEPENDS}
      rapidcheck GTest::gtest_main)
    target_include_directories(test_${name} PRIVATE ${dir}/src)
    target_compile_definitions(test_${name} PRIVATE
      PAPAYAWAY_SOURCE_DIR="${CMAKE_SOURCE_DIR}")
    set(properties TIMEOUT 240)
    if(ARG_TEST_PROGRAMS)
      add_dependencies(test_${name} ${ARG_TEST_PROGRAMS})
      target_compile_definitions(test_${name} PRIVATE
        PAPAYAWAY_PROGRAM_DIR="${CMAKE_RUNTIME_OUTPUT_DIRECTORY}")
      list(APPEND properties RUN_SERIAL TRUE)
    endif()
    gtest_discover_tests(test_${name} TEST_PREFIX "${name}."
      DISCOVERY_TIMEOUT 60 PROPERTIES ${properties})
  endif()

  file(GLOB benchmarks CONFIGURE_DEPENDS ${dir}/benchmark/*.cpp)
  if(benchmarks AND NOT PAPAYAWAY_SANITIZE AND NOT PAPAYAWAY_DEPLOY)
    add_executable(benchmark_${name} ${benchmarks})
    target_link_libraries(benchmark_${name} PRIVATE ${name}
      benchmark::benchmark benchmark::benchmark_main)
  endif()
endfunction()

# papayaway_tool(NAME DEPENDS targets...)
#
# Declares the program in tools/NAME. All its sources except Main.cpp are built
# into the library NAME-parts, which its test program from tests/*.cpp links
# too.
function(papayaway_tool name)
  cmake_parse_arguments(ARG "" "" "DEPENDS" ${ARGN})
  set(dir ${CMAKE_CURRENT_SOURCE_DIR}/${name})
  file(GLOB sources CONFIGURE_DEPENDS ${dir}/*.cpp)
  if(NOT sources)
    return()
  endif()
  set(parts ${sources})
  list(FILTER parts EXCLUDE REGEX "/Main\\.cpp$")
  set(depends ${ARG_DEPENDS} Boost::program_options)
  if(parts)
    list(REMOVE_ITEM sources ${parts})
    add_library(${name}-parts STATIC ${parts})
    target_link_libraries(${name}-parts PUBLIC ${depends})
    set(depends ${name}-parts)
  endif()
  add_executable(${name} ${sources})
  target_link_libraries(${name} PRIVATE ${depends})
  install(TARGETS ${name} RUNTIME DESTINATION ${CMAKE_INSTALL_BINDIR})

  file(GLOB tests CONFIGURE_DEPENDS ${dir}/tests/*.cpp)
  if(tests AND NOT PAPAYAWAY_DEPLOY)
    add_executable(test_${name} ${tests})
    target_link_libraries(test_${name} PRIVATE ${depends} rapidcheck
      GTest::gtest_main)
    target_include_directories(test_${name} PRIVATE ${dir})
    gtest_discover_tests(test_${name} TEST_PREFIX "${name}."
      DISCOVERY_TIMEOUT 60 PROPERTIES TIMEOUT 240)
  endif()
endfunction()
