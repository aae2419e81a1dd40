# Finds the packages that tools/install_packages installs.

set(THREADS_PREFER_PTHREAD_FLAG ON)
find_package(Threads REQUIRED)
find_package(Boost 1.81 REQUIRED)
find_package(OpenSSL REQUIRED)
find_package(fmt REQUIRED)
find_package(gflags REQUIRED)
find_package(nlohmann_json REQUIRED)
find_package(prometheus-cpp REQUIRED)
find_package(spdlog REQUIRED)
find_package(tl-expected REQUIRED)
find_package(yaml-cpp REQUIRED)

# The CMake package of Cap'n Proto demands a separate libatomic, which g++ on
# x86-64 does not need; the libraries are found one by one instead.
find_library(HEMLOCKSHELF_CAPNP_RPC_LIBRARY capnp-rpc REQUIRED)
find_library(HEMLOCKSHELF_CAPNP_LIBRARY capnp REQUIRED)
find_library(HEMLOCKSHELF_KJ_ASYNC_LIBRARY kj-async REQUIRED)
find_library(HEMLOCKSHELF_KJ_LIBRARY kj REQUIRED)
set(HEMLOCKSHELF_CAPNP_LIBRARIES
  ${HEMLOCKSHELF_CAPNP_RPC_LIBRARY}
  ${HEMLOCKSHELF_CAPNP_LIBRARY}
  ${HEMLOCKSHELF_KJ_ASYNC_LIBRARY}
  ${HEMLOCKSHELF_KJ_LIBRARY}
)

find_library(HEMLOCKSHELF_XXHASH_LIBRARY xxhash REQUIRED)
find_library(HEMLOCKSHELF_ZSTD_LIBRARY zstd REQUIRED)
if(HEMLOCKSHELF_DEVELOP)
  find_package(benchmark REQUIRED)
  find_library(HEMLOCKSHELF_CRITERION_LIBRARY criterion REQUIRED)
  find_library(HEMLOCKSHELF_RAPIDCHECK_LIBRARY rapidcheck REQUIRED)
endif()
