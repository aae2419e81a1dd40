# Functions that define libraries, programs and tests in the same way.

function(hemlockshelf_set_options target)
  target_compile_features(${target} PUBLIC cxx_std_20)
  target_compile_options(${target} PRIVATE -Wall -Wextra -Wpedantic -Wshadow)
  if(HEMLOCKSHELF_WERROR)
    target_compile_options(${target} PRIVATE -Werror)
  endif()
  if(HEMLOCKSHELF_SANITIZE)
    target_compile_options(${target}
      PRIVATE -fsanitize=${HEMLOCKSHELF_SANITIZE} -fno-omit-frame-pointer
    )
    target_link_options(${target} PUBLIC -fsanitize=${HEMLOCKSHELF_SANITIZE})
  endif()
  target_compile_definitions(${target} PRIVATE SPDLOG_FMT_EXTERNAL)
  target_include_directories(${target}
    PUBLIC "${PROJECT_SOURCE_DIR}/include" "${PROJECT_SOURCE_DIR}"
  )
endfunction()

# hemlockshelf_add_library(<name> SOURCES <file>... [LINK <target>...])
function(hemlockshelf_add_library name)
  cmake_parse_arguments(arg "" "" "SOURCES;LINK" ${ARGN})
  add_library(${name} STATIC ${arg_SOURCES})
  hemlockshelf_set_options(${name})
  target_link_libraries(${name} PUBLIC ${arg_LINK} Threads::Threads)
endfunction()

# hemlockshelf_add_program(<name> SOURCES <file>... [LINK <target>...])
function(hemlockshelf_add_program name)
  cmake_parse_arguments(arg "" "" "SOURCES;LINK" ${ARGN})
  add_executable(${name} ${arg_SOURCES})
  hemlockshelf_set_options(${name})
  target_link_libraries(${name} PRIVATE ${arg_LINK} Threads::Threads)
endfunction()

# hemlockshelf_add_test(<name> SOURCES <file>... [LINK <target>...])
#
# Defines one Criterion program and registers it with CTest. RC_PARAMS fixes
# the seed of the property-based tests so that each run gives the same verdict.
function(hemlockshelf_add_test name)
  cmake_parse_arguments(arg "" "" "SOURCES;LINK" ${ARGN})
  add_executable(${name} ${arg_SOURCES})
  hemlockshelf_set_options(${name})
  target_link_libraries(${name}
    PRIVATE
      ${arg_LINK}
      ${HEMLOCKSHELF_CRITERION_LIBRARY}
      ${HEMLOCKSHELF_RAPIDCHECK_LIBRARY}
      Threads::Threads
  )
  add_test(NAME ${name} COMMAND ${name} --timeout 120)
  set_tests_properties(${name}
    PROPERTIES ENVIRONMENT "RC_PARAMS=seed=20261204" TIMEOUT 300
  )
endfunction()
