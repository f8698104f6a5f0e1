# SPDX-License-Identifier: Apache-2.0
# Project functions: every target of the workspace is declared through one of these.
include(GNUInstallDirs)

add_library(sailtiller_compile_options INTERFACE)
target_compile_options(sailtiller_compile_options INTERFACE
  -Wall -Wextra -Wpedantic -Wconversion -Wnon-virtual-dtor -Wold-style-cast)
if(SAILTILLER_WARNINGS_AS_ERRORS)
  target_compile_options(sailtiller_compile_options INTERFACE -Werror)
endif()
if(SAILTILLER_SANITIZE)
  target_compile_options(sailtiller_compile_options INTERFACE
    -fsanitize=address,undefined -fno-sanitize-recover=all -fno-omit-frame-pointer)
  target_link_options(sailtiller_compile_options INTERFACE -fsanitize=address,undefined)
endif()

# sailtiller_add_library(NAME SOURCES a.cpp b.cpp DEPENDS base EXTERNAL OpenSSL::Crypto)
# Declares the package NAME and its exported target sailtiller::NAME.
function(sailtiller_add_library name)
  cmake_parse_arguments(ARG "" "" "SOURCES;DEPENDS;EXTERNAL" ${ARGN})
  add_library(sailtiller_${name} STATIC ${ARG_SOURCES})
  add_library(sailtiller::${name} ALIAS sailtiller_${name})
  set_target_properties(sailtiller_${name} PROPERTIES EXPORT_NAME ${name} LINKER_LANGUAGE CXX)
  target_include_directories(sailtiller_${name} PUBLIC
    $<BUILD_INTERFACE:${CMAKE_SOURCE_DIR}/src/libs> $<INSTALL_INTERFACE:${CMAKE_INSTALL_INCLUDEDIR}/sailtiller>)
  foreach(dependency ${ARG_DEPENDS})
    target_link_libraries(sailtiller_${name} PUBLIC sailtiller::${dependency})
  endforeach()
  target_link_libraries(sailtiller_${name} PUBLIC ${ARG_EXTERNAL} PRIVATE $<BUILD_INTERFACE:sailtiller_compile_options>)
endfunction()

# sailtiller_add_platform_library(...): as sailtiller_add_library, for the folder platform/ at the root.
function(sailtiller_add_platform_library name)
  sailtiller_add_library(${name} ${ARGN})
  target_include_directories(sailtiller_${name} PUBLIC $<BUILD_INTERFACE:${CMAKE_SOURCE_DIR}>)
endfunction()

# sailtiller_add_program(NAME SOURCES ... DEPENDS ... [INSTALL])
function(sailtiller_add_program name)
  cmake_parse_arguments(ARG "INSTALL" "" "SOURCES;DEPENDS;EXTERNAL" ${ARGN})
  add_executable(${name} ${ARG_SOURCES})
  foreach(dependency ${ARG_DEPENDS})
    target_link_libraries(${name} PRIVATE sailtiller::${dependency})
  endforeach()
  target_link_libraries(${name} PRIVATE ${ARG_EXTERNAL} sailtiller_compile_options)
  if(ARG_INSTALL)
    install(TARGETS ${name} RUNTIME DESTINATION ${CMAKE_INSTALL_BINDIR})
  endif()
endfunction()

# sailtiller_add_test(LIBRARY SOURCES tst_a.cpp DEPENDS ...) builds one GoogleTest program, tst_LIBRARY.
function(sailtiller_add_test library)
  cmake_parse_arguments(ARG "" "" "SOURCES;DEPENDS;EXTERNAL" ${ARGN})
  sailtiller_add_program(tst_${library} SOURCES ${ARG_SOURCES} DEPENDS ${ARG_DEPENDS}
    EXTERNAL GTest::gtest_main ${ARG_EXTERNAL})
  add_test(NAME ${library} COMMAND tst_${library})
  set_tests_properties(${library} PROPERTIES
    ENVIRONMENT "LSAN_OPTIONS=suppressions=${CMAKE_SOURCE_DIR}/cmake/leaks.supp")
endfunction()
