# Helpers that give every target of the project the same warnings, sanitizers and include root.

function(pollenstall_options Target)
  target_include_directories(${Target} PUBLIC ${PROJECT_SOURCE_DIR}/src)
  target_compile_options(${Target} PRIVATE -Wall -Wextra -Wpedantic -Wshadow -Wnon-virtual-dtor -Wno-psabi)
  if(POLLENSTALL_WERROR)
    target_compile_options(${Target} PRIVATE -Werror)
  endif()
  if(POLLENSTALL_SANITIZE)
    # g++ 12 warns of uninitialised members inside Beast only when it instruments the code.
    target_compile_options(${Target} PRIVATE -fsanitize=${POLLENSTALL_SANITIZE} -fno-omit-frame-pointer -g1
      -Wno-maybe-uninitialized)
    target_link_options(${Target} PUBLIC -fsanitize=${POLLENSTALL_SANITIZE})
    # The thread sanitizer does not know the fences that Asio sets around each handler, and g++ says so
    # for every file. Asio hands handlers over under a mutex, which it knows; src/ has no fence.
    if(POLLENSTALL_SANITIZE MATCHES thread)
      target_compile_options(${Target} PRIVATE -Wno-tsan)
    endif()
  endif()
  target_compile_definitions(${Target} PRIVATE
    BOOST_ASIO_NO_DEPRECATED POLLENSTALL_VERSION="${PROJECT_VERSION}")
endfunction()

# pollenstall_library(NAME [DEPENDS target...]): every .cpp of the folder; header-only where there is none.
function(pollenstall_library Name)
  cmake_parse_arguments(Arg "" "" "DEPENDS" ${ARGN})
  file(GLOB Sources CONFIGURE_DEPENDS ${CMAKE_CURRENT_SOURCE_DIR}/*.cpp)
  if(Sources)
    add_library(${Name} STATIC ${Sources})
    pollenstall_options(${Name})
    target_link_libraries(${Name} PUBLIC ${Arg_DEPENDS} Threads::Threads)
  else()
    add_library(${Name} INTERFACE)
    target_include_directories(${Name} INTERFACE ${PROJECT_SOURCE_DIR}/src)
    target_link_libraries(${Name} INTERFACE ${Arg_DEPENDS} Threads::Threads)
  endif()
endfunction()

# pollenstall_program(NAME [DEPENDS target...]): every .cpp of the folder, built into build/bin.
function(pollenstall_program Name)
  cmake_parse_arguments(Arg "" "" "DEPENDS" ${ARGN})
  file(GLOB Sources CONFIGURE_DEPENDS ${CMAKE_CURRENT_SOURCE_DIR}/*.cpp)
  add_executable(${Name} ${Sources})
  pollenstall_options(${Name})
  target_link_libraries(${Name} PRIVATE ${Arg_DEPENDS})
  set_target_properties(${Name} PROPERTIES RUNTIME_OUTPUT_DIRECTORY ${PROJECT_BINARY_DIR}/bin)
endfunction()

# How many times longer ctest waits for a test that is built with a sanitizer.
set(POLLENSTALL_SANITIZE_TIMEOUT_FACTOR 5)

# pollenstall_test(NAME [DEPENDS target...] [TIMEOUT seconds]): every *_test.cpp of the folder, one ctest entry.
function(pollenstall_test Name)
  cmake_parse_arguments(Arg "" "TIMEOUT" "DEPENDS" ${ARGN})
  if(NOT Arg_TIMEOUT)
    set(Arg_TIMEOUT 300)
  endif()
  # Instrumented code is several times slower; the limit only ends a test that hangs.
  if(POLLENSTALL_SANITIZE)
    math(EXPR Arg_TIMEOUT "${Arg_TIMEOUT} * ${POLLENSTALL_SANITIZE_TIMEOUT_FACTOR}")
  endif()
  file(GLOB Sources CONFIGURE_DEPENDS ${CMAKE_CURRENT_SOURCE_DIR}/*.cpp)
  add_executable(${Name} ${Sources})
  pollenstall_options(${Name})
  target_include_directories(${Name} PRIVATE ${PROJECT_SOURCE_DIR}/tests)
  target_link_libraries(${Name} PRIVATE ${Arg_DEPENDS} GTest::gtest GTest::gmock GTest::gtest_main
    ${RAPIDCHECK_LIBRARY} Threads::Threads)
  target_compile_definitions(${Name} PRIVATE
    POLLENSTALL_BIN_DIR="${PROJECT_BINARY_DIR}/bin" POLLENSTALL_SOURCE_DIR="${PROJECT_SOURCE_DIR}")
  add_test(NAME ${Name} COMMAND ${Name})
  # A fixed seed: RapidCheck would else draw another one for each run.
  set_tests_properties(${Name} PROPERTIES TIMEOUT ${Arg_TIMEOUT} ENVIRONMENT "RC_PARAMS=seed=20261202")
endfunction()

# pollenstall_bench(NAME [DEPENDS target...]): a Google Benchmark or plain measuring program in build/bench.
function(pollenstall_bench Name)
  cmake_parse_arguments(Arg "" "" "DEPENDS" ${ARGN})
  file(GLOB Sources CONFIGURE_DEPENDS ${CMAKE_CURRENT_SOURCE_DIR}/*.cpp)
  add_executable(${Name} ${Sources})
  pollenstall_options(${Name})
  target_link_libraries(${Name} PRIVATE ${Arg_DEPENDS} benchmark::benchmark Threads::Threads)
  set_target_properties(${Name} PROPERTIES RUNTIME_OUTPUT_DIRECTORY ${PROJECT_BINARY_DIR}/bench)
endfunction()
