# Installs the man pages, the documentation, the samples and the systemd unit.
# The programs are installed by papayaway_tool().

install(FILES ${CMAKE_SOURCE_DIR}/docs/man/papayawayctl.1
  DESTINATION ${CMAKE_INSTALL_MANDIR}/man1)
install(FILES ${CMAKE_SOURCE_DIR}/docs/man/papayaway-node.8
  DESTINATION ${CMAKE_INSTALL_MANDIR}/man8)
install(DIRECTORY ${CMAKE_SOURCE_DIR}/docs ${CMAKE_SOURCE_DIR}/samples
  DESTINATION ${CMAKE_INSTALL_DOCDIR}
  PATTERN man EXCLUDE
  PATTERN "faulty.*" EXCLUDE)

# systemd searches lib/systemd/system under /usr and /usr/local on every
# architecture. CMAKE_INSTALL_LIBDIR can't be used, because it may contain the
# name of the architecture.
set(PAPAYAWAY_UNIT_DIR lib/systemd/system CACHE STRING
  "Folder of systemd units, relative to the prefix or absolute")
configure_file(${CMAKE_SOURCE_DIR}/packaging/papayaway-node.service
  ${CMAKE_BINARY_DIR}/packaging/papayaway-node.service @ONLY)
install(FILES ${CMAKE_BINARY_DIR}/packaging/papayaway-node.service
  DESTINATION ${PAPAYAWAY_UNIT_DIR})
