# Installs libtoucandeck: the coordination modules, their headers and a CMake package.
include(CMakePackageConfigHelpers)
set(modules common log wire consensus state ownership routing admission)

add_library(toucandeck INTERFACE)
foreach(module ${modules})
  target_link_libraries(toucandeck INTERFACE toucandeck_${module})
  install(DIRECTORY ${PROJECT_SOURCE_DIR}/src/${module} DESTINATION include/toucandeck FILES_MATCHING PATTERN "*.h")
  set_target_properties(toucandeck_${module} PROPERTIES EXPORT_NAME ${module})
endforeach()
install(DIRECTORY ${PROJECT_SOURCE_DIR}/src/Toucandeck DESTINATION include/toucandeck)
install(TARGETS toucandeck toucandeck_common toucandeck_log toucandeck_wire toucandeck_consensus toucandeck_state toucandeck_ownership
                toucandeck_routing toucandeck_admission
        EXPORT ToucandeckTargets ARCHIVE DESTINATION lib INCLUDES DESTINATION include/toucandeck include/toucandeck/wire)
install(EXPORT ToucandeckTargets NAMESPACE Toucandeck:: DESTINATION lib/cmake/Toucandeck)
file(WRITE ${CMAKE_BINARY_DIR}/ToucandeckConfig.cmake
"include(CMakeFindDependencyMacro)
find_dependency(fmt)
find_dependency(Protobuf)
find_dependency(PkgConfig)
pkg_check_modules(XXHASH REQUIRED IMPORTED_TARGET libxxhash)
include(\${CMAKE_CURRENT_LIST_DIR}/ToucandeckTargets.cmake)
")
write_basic_package_version_file(${CMAKE_BINARY_DIR}/ToucandeckConfigVersion.cmake COMPATIBILITY SameMinorVersion)
install(FILES ${CMAKE_BINARY_DIR}/ToucandeckConfig.cmake ${CMAKE_BINARY_DIR}/ToucandeckConfigVersion.cmake DESTINATION lib/cmake/Toucandeck)

# Installs into a folder of the build and builds the example against it, as a user of the library would.
add_test(NAME install.example COMMAND ${PROJECT_SOURCE_DIR}/examples/embed/check ${CMAKE_BINARY_DIR})
set_tests_properties(install.example PROPERTIES TIMEOUT 600)
