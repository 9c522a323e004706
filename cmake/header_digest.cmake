# toucandeck_header_digest(OUT HEADERS...): sets OUT to a digest of the contents of the headers. As a compile definition it has objects
# compiled again whenever a header changes: generators compare only file times, which do not show a changed header that is older than
# an object, nor one that changed while the object was compiled.
function(toucandeck_header_digest out)
  set(digests "")
  foreach(header ${ARGN})
    file(SHA256 ${header} digest)
    string(APPEND digests ${digest})
  endforeach()
  string(SHA256 digest "${digests}")
  string(SUBSTRING ${digest} 0 16 digest)
  set(${out} ${digest} PARENT_SCOPE)
  set_property(DIRECTORY APPEND PROPERTY CMAKE_CONFIGURE_DEPENDS ${ARGN})
endfunction()
